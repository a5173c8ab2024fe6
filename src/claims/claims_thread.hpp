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

/// Rings of the duties that the claims duty tells. The pointers must stay
/// valid while run() works.
struct wiring
{
    routing::inbox* routing = nullptr;
    admission::inbox* admission = nullptr;
    gooseberrycove::peer::inbox* peer = nullptr;
    store::inbox* store = nullptr;
    daemon_ref self;
    /// Peer address of this daemon, `ip:port`.
    std::string address;
    /// Secret for minted keys, the same in all daemons.
    std::string mint_key;
};

/// Runs until \p requests is closed.
void run(inbox& requests, wiring const& to);

} // namespace gooseberrycove::claims

#endif
