#ifndef GOOSEBERRYCOVE_PEER_HPP
#define GOOSEBERRYCOVE_PEER_HPP

#include <gooseberrycove/account_limit.hpp>
#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/claims.hpp>
#include <gooseberrycove/config.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/work.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace gooseberrycove::peer
{

/// Request or reply that checks that a connection carries frames in both
/// directions.
struct path_check
{
    std::uint64_t number = 0;
    bool is_reply = false;
};

/// All messages between daemons. A packet is sent as a datagram, all others
/// over a stream.
using payload =
    std::variant<std::monostate, work_request, work_result, admission::cancel,
                 claims::fence, claims::fence_response, config::pull,
                 config::deltas, config::peer_version, members::sync,
                 members::packet, path_check, account_limit::report,
                 account_limit::grant>;

/// Where the receiver of a message is. Only routing knows the data centre of
/// an address, so it is unknown for all but work and its results.
enum class scope : std::uint8_t
{
    unknown,
    same_data_centre,
    other_data_centre
};

struct outgoing
{
    /// Peer address of the receiver, `ip:port`.
    std::string address;
    payload content;
    scope receiver_scope = scope::unknown;
};

/// Messages that the peer duty handles.
using message = std::variant<std::monostate, outgoing>;
using inbox = ring<message>;

} // namespace gooseberrycove::peer

#endif
