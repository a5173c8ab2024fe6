#ifndef GOOSEBERRYCOVE_FAKE_LINK_LINK_HPP
#define GOOSEBERRYCOVE_FAKE_LINK_LINK_HPP

#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Stand-in for the network between daemons. Each daemon advertises an address
/// at which the link listens, and listens at another address whose IP address
/// no other daemon uses. The link identifies senders by that IP address.
namespace gooseberrycove::fake_link
{

struct node
{
    std::string name;
    /// `ip:port` that the other daemons use.
    std::string advertised;
    /// `ip:port` that the daemon listens at.
    std::string bound;
};

struct state
{
    std::vector<node> nodes;
    /// Pairs of sender and receiver. Datagrams from the sender to the receiver
    /// are dropped and stream data is held back.
    std::set<std::pair<std::string, std::string>> blocked_directions;
};

/// Reads `name=advertised>bound` parts separated by blanks.
/// \throws settings_error for any other text; names the allowed form
std::vector<node> parse_links(std::string_view text);

/// Name of the daemon whose bound address has this IP address, else empty.
std::string_view sender_name(state const& link, std::string_view ip);

/// Whether the direction from \p sender to \p receiver is blocked.
bool is_blocked(state const& link, std::string_view sender,
                std::string_view receiver);

/// Runs a line `cut FROM TO`, `heal FROM TO` or `heal_all` and returns the
/// response: `ok`, or the commands and names that are allowed.
std::string on_command(state& link, std::string_view line);

} // namespace gooseberrycove::fake_link

#endif
