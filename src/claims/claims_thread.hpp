#ifndef GOOSEBERRYCOVE_CLAIMS_CLAIMS_THREAD_HPP
#define GOOSEBERRYCOVE_CLAIMS_CLAIMS_THREAD_HPP

#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/claims.hpp>
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/routing.hpp>
#include <gooseberrycove/store.hpp>

#include <string>

namespace gooseberrycove::claims
{

/// Rings of the duties that the claims duty sends to, and the daemon's
/// identity. The pointers must stay valid until run() returns.
struct wiring
{
    routing::inbox* routing = nullptr;
    admission::inbox* admission = nullptr;
    gooseberrycove::peer::inbox* peer = nullptr;
    store::inbox* store = nullptr;
    daemon_ref own_daemon;
    /// Peer address of this daemon, `ip:port`.
    std::string address;
    /// Secret for the MAC of minted keys, the same in all daemons.
    std::string mint_key;
};

/// Runs until \p requests is closed.
void run(inbox& requests, wiring const& rings);

} // namespace gooseberrycove::claims

#endif
