#ifndef GOOSEBERRYCOVE_ROUTING_DECISIONS_HPP
#define GOOSEBERRYCOVE_ROUTING_DECISIONS_HPP

#include "state.hpp"

namespace gooseberrycove::routing
{

/// Why a request is refused; kind none accepts it.
struct refusal
{
    error_kind kind = error_kind::none;
    std::string_view detail;
};

/// Authenticates the account and takes a token from its bucket.
refusal check_account(routing_state& state, caller_request const& original,
                      lookup_result const& lookup, time_point now);

void on_caller_request(routing_state& state, caller_request&& original,
                       lookup_result const& lookup, time_point now,
                       actions& out);

void on_caller_disconnected(routing_state& state,
                            caller_disconnected const& disconnected,
                            time_point now, actions& out);

/// Handles the result of one attempt. \p result has no `home` when this daemon
/// made it because the work or its result could not be delivered.
void on_result(routing_state& state, work_result&& result, time_point now,
               actions& out);

void on_claim_result(routing_state& state, claims::claim_result&& result,
                     time_point now, actions& out);

void on_token_decision(routing_state& state,
                       account_limit::token_decision const& decision,
                       time_point now, actions& out);

void on_claim_released(routing_state& state,
                       claims::claim_released const& released, time_point now,
                       actions& out);

/// Cancels unclaimed attempts that are still queued at their homes, so that
/// their callers receive a refusal (not run) before this daemon ends.
void on_refuse_unstarted(routing_state& state, actions& out);

/// Replaces the candidates of one service.
void on_service_view(routing_state& state, members::service_view const& view);

/// Runs due timers and returns the time of the next one.
time_point on_tick(routing_state& state, time_point now, actions& out);

/// Explains how a request would be routed, without starting it.
explanation explain(routing_state const& state, lookup_result const& lookup,
                    explain_request const& request, std::size_t max_body_bytes,
                    time_point now);

/// Summarizes the capacity of each service that has candidates, as this daemon
/// applies the floor rule.
std::vector<service_summary> summarize(routing_state const& state,
                                       time_point now);

} // namespace gooseberrycove::routing

#endif
