#ifndef GOOSEBERRYCOVE_ROUTING_ROUTING_THREAD_HPP
#define GOOSEBERRYCOVE_ROUTING_ROUTING_THREAD_HPP

#include <gooseberrycove/front.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/routing.hpp>

namespace gooseberrycove::routing
{

/// The duties that routing talks to. The rings outlive the thread.
struct wiring
{
    front::inbox* front = nullptr;
    admission::inbox* admission = nullptr;
    peer::inbox* peer = nullptr;
    claims::inbox* claims = nullptr;
    daemon_ref self;
    /// Own peer address, `ip:port`.
    std::string address;
    std::string data_centre;
    /// Service of this VM's backend server; empty when it is not told.
    std::string caller_service;
    /// May be null.
    metrics* counts = nullptr;
    /// Of this VM's backend server; may be null.
    admission::retry_share const* repeats = nullptr;
};

/// Runs until \p messages is closed and empty.
void run(inbox& messages, wiring const& to);

} // namespace gooseberrycove::routing

#endif
