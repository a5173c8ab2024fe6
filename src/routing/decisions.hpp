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
refusal check_account(state& self, caller_request const& from,
                      looked_up const& config, time_point now);

void on_caller_request(state& self, caller_request&& from,
                       looked_up const& config, time_point now, actions& out);

void on_caller_gone(state& self, caller_disconnected const& gone,
                    time_point now, actions& out);

/// \p result may be the answer of a home, or made by this daemon because the
/// work or its result could not be carried; the latter has no `home`.
void on_result(state& self, work_result&& result, time_point now, actions& out);

void on_claim_result(state& self, claims::claim_result&& result, time_point now,
                     actions& out);

void on_claim_released(state& self, claims::claim_released const& released,
                       time_point now, actions& out);

/// Takes back attempts that wait at their homes, so that their callers get a
/// true refusal before this daemon ends.
void on_stop_waiting(state& self, actions& out);

/// Replaces the candidates of one service.
void on_view(state& self, members::service_view const& view);

/// Runs due timers and returns the time of the next one.
time_point on_tick(state& self, time_point now, actions& out);

/// Shows the decision for a request without making it.
explanation explain(state const& self, looked_up const& config, time_point now);

/// Capacity of each service with candidates, by the floor rule in force here.
std::vector<service_summary> summarize(state const& self, time_point now);

} // namespace gooseberrycove::routing

#endif
