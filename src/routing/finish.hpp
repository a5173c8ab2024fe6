#ifndef GOOSEBERRYCOVE_ROUTING_FINISH_HPP
#define GOOSEBERRYCOVE_ROUTING_FINISH_HPP

#include "state.hpp"

namespace gooseberrycove::routing
{

/// Keeps \p result as the request's failure unless the kept one takes
/// precedence: ran over unknown, and unknown over not run.
void keep_failure(request_state& request, work_result&& result);

/// The error kind to report for \p run_outcome. The \p kind from a home is kept
/// only when its row in the error table has the same outcome.
error_kind error_kind_for(error_kind kind, outcome run_outcome);

/// Returns the token of a request that has not reached a server.
void return_token(request_state& request, actions& out);

/// Responds to the caller unless it was answered before, cancels the other
/// attempts and ends the request.
void respond_success(routing_state& state, request_state& request,
                     work_result&& result, time_point now, actions& out);

/// Responds with the kept failure. When claimed work did not run, its claim is
/// released first.
void respond_failure(routing_state& state, request_state& request,
                     time_point now, actions& out);

/// Responds with `timed_out` while attempts are open, because their outcome is
/// unknown. Under a claim, their result is awaited for max_settle_time.
void respond_timed_out(routing_state& state, request_state& request,
                       time_point now, actions& out);

/// Responds with a refusal and removes the request.
void refuse(routing_state& state, request_state& request, error_kind kind,
            std::string_view detail, actions& out);

/// Like refuse(), but keeps the request.
void respond_refusal(routing_state& state, request_state& request,
                     error_kind kind, std::string_view detail, actions& out);

/// Keeps an answered request until its claim_result arrives; claims sends one
/// for every claim_request.
void withdraw(routing_state& state, request_state& request);

/// Returns a claim under which no work was sent.
void return_claim(routing_state& state, request_state& request, actions& out);

/// Ends a claim with an unknown outcome after its caller was answered.
void settle_claim(routing_state& state, request_state& request, actions& out);

} // namespace gooseberrycove::routing

#endif
