#ifndef GOOSEBERRYCOVE_ADMISSION_ADMISSION_THREAD_HPP
#define GOOSEBERRYCOVE_ADMISSION_ADMISSION_THREAD_HPP

#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/routing.hpp>

#include <atomic>

namespace gooseberrycove::admission
{

/// Rings of the duties that admission sends to, and the identity of this
/// daemon.
struct wiring
{
    dispatch::inbox* dispatch = nullptr;
    health::inbox* health = nullptr;
    members::inbox* members = nullptr;
    routing::inbox* routing = nullptr;
    peer::inbox* peer = nullptr;
    claims::inbox* claims = nullptr;
    daemon_ref own_daemon;
    /// Peer address of this daemon, `ip:port`.
    std::string address;
    /// Number of attempts queued or running here, read by the owner while it
    /// drains; may be null.
    std::atomic<std::size_t>* in_flight = nullptr;
    /// See admission::retry_share; may be null.
    retry_share* local_retry_share = nullptr;
    /// May be null.
    metrics* counts = nullptr;
    /// See admission_state.
    std::size_t max_siblings = 0;
};

/// Runs the duty until \p requests is closed and empty. The owner waits for the
/// requests in flight before it closes the ring, so that every result is
/// delivered.
void run(inbox& requests, wiring const& out);

} // namespace gooseberrycove::admission

#endif
