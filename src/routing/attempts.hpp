#ifndef GOOSEBERRYCOVE_ROUTING_ATTEMPTS_HPP
#define GOOSEBERRYCOVE_ROUTING_ATTEMPTS_HPP

#include "state.hpp"

namespace gooseberrycove::routing
{

/// See choice_input::crossing_cost.
/// \param local_failures  attempts in the own data centre without success
std::optional<double> crossing_cost_for(routing_state const& state,
                                        std::string_view route,
                                        std::size_t body_bytes,
                                        duration time_left,
                                        std::size_t local_failures);

service_state& service_of(routing_state& state, std::string_view name);

/// Applies the floor rule with the service's floor, then the reported failure
/// probabilities.
assessment assess(service_state const& service, home_evidence const& evidence,
                  time_point now);

/// Sends the request to the best home that was not tried yet. Returns false
/// when no home is left, when the limit of homes or servers is reached, or
/// after the deadline.
bool start_attempt(routing_state& state, request_state& request, event id,
                   std::string_view reason, time_point now, actions& out);

/// The homes for claimed work in the order of preference, at most max_homes.
std::vector<claims::claim_home> claimable_homes(routing_state& state,
                                                request_state const& request,
                                                time_point now);

std::size_t count_open_attempts(request_state const& request);

bool has_open_attempt(request_state const& request);

/// Marks the attempt as ended and removes it from service_state::outstanding.
void close_attempt(routing_state& state, request_state& request,
                   attempt_state& attempt);

void cancel_open_attempts(routing_state& state, request_state& request,
                          actions& out);

/// Replaces the request's entry in routing_state::timers; `never` removes it.
void set_timer(routing_state& state, request_state& request, time_point due);

/// Removes the request, closes its attempts and removes its timer.
void erase_request(routing_state& state, request_id id);

} // namespace gooseberrycove::routing

#endif
