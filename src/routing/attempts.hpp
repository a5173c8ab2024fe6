#ifndef GOOSEBERRYCOVE_ROUTING_ATTEMPTS_HPP
#define GOOSEBERRYCOVE_ROUTING_ATTEMPTS_HPP

#include "state.hpp"

namespace gooseberrycove::routing
{

service_state& service_of(state& self, std::string_view name);

/// The floor rule with the floor of the service.
assessment assess(service_state const& service, home_evidence const& evidence,
                  time_point now);

/// Sends the request to the best home that was not tried yet. False when no
/// home is left or too many were tried.
bool start_attempt(state& self, request& what, event why,
                   std::string_view reason, time_point now, actions& out);

/// The first homes for claimed work in the order of preference, at most three.
std::vector<claims::claim_home>
claimable_homes(state& self, request const& what, time_point now);

std::size_t open_attempts(request const& what);

bool has_open_attempt(request const& what);

/// Marks the attempt as finished and frees its place at the server.
void close_attempt(state& self, request& what, attempt& which);

void cancel_open_attempts(state& self, request& what, actions& out);

/// Registers the earliest of the request's deadlines in state::timers.
void set_timer(state& self, request& what, time_point at);

/// Removes the request and all that refers to it.
void erase_request(state& self, request_id id);

} // namespace gooseberrycove::routing

#endif
