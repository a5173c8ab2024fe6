#ifndef GOOSEBERRYCOVE_MEMBERS_MEMBERS_THREAD_HPP
#define GOOSEBERRYCOVE_MEMBERS_MEMBERS_THREAD_HPP

#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/claims.hpp>
#include <gooseberrycove/config.hpp>
#include <gooseberrycove/health.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/routing.hpp>
#include <gooseberrycove/store.hpp>

#include <string>
#include <vector>

namespace gooseberrycove::members
{

/// Rings of the duties that receive messages from the membership duty, and its
/// initial values. The pointers must stay valid until run() returns.
struct wiring
{
    gooseberrycove::peer::inbox* peer = nullptr;
    routing::inbox* routing = nullptr;
    admission::inbox* admission = nullptr;
    health::inbox* health = nullptr;
    config::inbox* config = nullptr;
    claims::inbox* claims = nullptr;
    store::inbox* store = nullptr;
    peer_record own_record;
    std::vector<std::string> seeds;
    /// Seed of the random choices.
    std::uint64_t seed = 0;
    /// May be null.
    metrics* counts = nullptr;
    /// Null when accounts are not limited across daemons.
    account_limit::inbox* account_limit = nullptr;
    /// Views of services with a server homed here go to admission too.
    bool sends_views_to_admission = false;
};

/// Runs until \p requests is closed.
void run(inbox& requests, wiring const& setup);

} // namespace gooseberrycove::members

#endif
