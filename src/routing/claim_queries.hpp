#ifndef GOOSEBERRYCOVE_ROUTING_CLAIM_QUERIES_HPP
#define GOOSEBERRYCOVE_ROUTING_CLAIM_QUERIES_HPP

#include "state.hpp"

#include <functional>

namespace gooseberrycove::routing
{

/// Whether a request is a query to claims instead of work for a backend server:
/// `POST /keys` mints an idempotency key, `GET /outcome/KEY` returns the state
/// of the request with that key. A request that a route matches is never one:
/// the caller would take the daemon's answer for that of a backend server.
bool is_claim_query(std::string_view method, std::string_view path,
                    lookup_result const& lookup);

/// Delivers a response to the caller. Called on the claims thread.
using deliver_response = std::function<void(final_response&&)>;

/// Checks the account as for any request, then sends the query to claims, whose
/// result goes to \p deliver. A refusal is added to the responses of \p out.
void on_claim_query(routing_state& state, caller_request const& request,
                    lookup_result const& lookup,
                    deliver_response const& deliver, time_point now,
                    actions& out);

} // namespace gooseberrycove::routing

#endif
