#ifndef GOOSEBERRYCOVE_PEER_THREAD_HPP
#define GOOSEBERRYCOVE_PEER_THREAD_HPP

#include <gooseberrycove/key_set.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/routing.hpp>

namespace gooseberrycove::peer
{

struct wiring
{
    daemon_ref self;
    /// `ip:port` for both TCP and UDP.
    std::string address;
    /// `ip:port` to bind, whose ip is also the source of outgoing connections;
    /// when empty, \p address is bound.
    std::string bind_address;
    key_set* keys = nullptr;
    metrics* counts = nullptr;
    routing::inbox* routing = nullptr;
    admission::inbox* admission = nullptr;
    claims::inbox* claims = nullptr;
    config::inbox* config = nullptr;
    members::inbox* members = nullptr;
    /// Null when accounts are not limited across daemons.
    account_limit::inbox* account_limit = nullptr;
    /// Limit of the bodies of work for this home; 0 for none.
    std::uint64_t max_received_bodies = 0;
};

/// Runs until \p messages is closed, then writes the queued frames and returns.
/// \throws error of kind internal when the address cannot be bound
void run(inbox& messages, wiring const& to);

} // namespace gooseberrycove::peer

#endif
