#ifndef GOOSEBERRYCOVE_ROUTING_ROUTING_THREAD_HPP
#define GOOSEBERRYCOVE_ROUTING_ROUTING_THREAD_HPP

#include <gooseberrycove/front.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/routing.hpp>

namespace gooseberrycove::routing
{

/// Rings to other duties, and values that are fixed for this daemon. The rings
/// must outlive the thread.
struct wiring
{
    front::inbox* front = nullptr;
    admission::inbox* admission = nullptr;
    peer::inbox* peer = nullptr;
    claims::inbox* claims = nullptr;
    daemon_ref own_daemon;
    /// Own peer address, `ip:port`.
    std::string own_address;
    std::string data_centre;
    /// Service of this VM's backend server; empty when not configured.
    std::string caller_service;
    /// May be null.
    metrics* request_metrics = nullptr;
    /// Share of retries at this VM's backend server; may be null.
    admission::retry_share const* local_retry_share = nullptr;
    /// Callers send the key of an account alone.
    bool finds_accounts_by_key = false;
    /// See routing_state.
    double cross_data_centre_cost = 0;
    /// Null when accounts are not limited across daemons.
    account_limit::inbox* account_limit = nullptr;
    bool keeps_newer_loads = false;
    /// Larger bodies are refused at the front; 0 when not told.
    std::size_t max_body_bytes = 0;
    /// Callers may mint idempotency keys and ask for outcomes.
    bool answers_claim_queries = true;
};

/// Runs until \p messages is closed and empty.
void run(inbox& messages, wiring const& links);

} // namespace gooseberrycove::routing

#endif
