#ifndef GOOSEBERRYCOVE_ACCOUNT_LIMIT_ACCOUNT_LIMIT_THREAD_HPP
#define GOOSEBERRYCOVE_ACCOUNT_LIMIT_ACCOUNT_LIMIT_THREAD_HPP

#include <gooseberrycove/account_limit.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/routing.hpp>

namespace gooseberrycove::account_limit
{

/// Rings of the duties that receive messages from the account limit duty, and
/// the daemon's identity. The pointers must stay valid until run() returns.
struct wiring
{
    gooseberrycove::peer::inbox* peer = nullptr;
    routing::inbox* routing = nullptr;
    daemon_ref own_daemon;
    /// Peer address of this daemon, `ip:port`.
    std::string own_address;
    /// May be null.
    metrics* counts = nullptr;
    /// See make_state().
    duration window{0};
};

/// Runs until \p messages is closed and empty.
void run(inbox& messages, wiring const& links);

} // namespace gooseberrycove::account_limit

#endif
