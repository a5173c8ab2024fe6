#ifndef GOOSEBERRYCOVE_FAKE_LINK_LINK_HPP
#define GOOSEBERRYCOVE_FAKE_LINK_LINK_HPP

#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Stand-in for the network between daemons. Each daemon advertises an address
/// that the link holds, and binds another one with an IP number of its own,
/// by which the link knows the senders.
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
    /// Pairs of sender and receiver between which nothing passes.
    std::set<std::pair<std::string, std::string>> cuts;
};

/// Reads `name=advertised>bound` parts separated by blanks.
/// \throws settings_error with what is allowed
std::vector<node> parse_links(std::string_view text);

/// Name of the daemon whose bound address has this IP number, else empty.
std::string_view sender_of(state const& link, std::string_view ip);

/// Whether nothing passes from one daemon to the other.
bool is_cut(state const& link, std::string_view from, std::string_view to);

/// Runs a line `cut FROM TO`, `heal FROM TO` or `heal_all` and returns the
/// answer: `ok` or what is allowed.
std::string on_command(state& link, std::string_view line);

} // namespace gooseberrycove::fake_link

#endif
