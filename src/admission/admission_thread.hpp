#ifndef GOOSEBERRYCOVE_ADMISSION_ADMISSION_THREAD_HPP
#define GOOSEBERRYCOVE_ADMISSION_ADMISSION_THREAD_HPP

#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/routing.hpp>

#include <atomic>

namespace gooseberrycove::admission
{

/// The duties that admission sends to, and this daemon's own identity.
struct wiring
{
    dispatch::inbox* dispatch = nullptr;
    health::inbox* health = nullptr;
    members::inbox* members = nullptr;
    routing::inbox* routing = nullptr;
    peer::inbox* peer = nullptr;
    claims::inbox* claims = nullptr;
    daemon_ref this_daemon;
    /// Peer address of this daemon, `ip:port`.
    std::string address;
    /// Attempts queued or running here; the owner reads it while it drains.
    std::atomic<std::size_t>* in_flight = nullptr;
    /// May be null.
    retry_share* local_retry_share = nullptr;
};

/// Runs until \p requests is closed and empty. The owner waits for the work
/// in flight before it closes the ring, so that every result is delivered.
void run(inbox& requests, wiring const& out);

} // namespace gooseberrycove::admission

#endif
