#ifndef GOOSEBERRYCOVE_ROUTING_FINISH_HPP
#define GOOSEBERRYCOVE_ROUTING_FINISH_HPP

#include "state.hpp"

namespace gooseberrycove::routing
{

/// Keeps \p result as the request's failure when it says more about execution
/// than the one kept so far: ran before unknown before not run.
void keep_failure(request& what, work_result&& result);

/// The error kind whose outcome agrees with what is known. A kind from a home
/// is kept only when its table row promises no more than \p result.
error_kind kind_for(error_kind kind, outcome result);

/// Answers the caller, once, and ends the request when nothing is left to
/// wait for.
void answer_success(state& self, request& what, work_result&& result,
                    time_point now, actions& out);

/// Answers with the kept failure; claimed work that did not run is released
/// first.
void answer_failure(state& self, request& what, time_point now, actions& out);

/// Answers with \p kind although attempts are open; their result is unknown.
void answer_late(state& self, request& what, time_point now, actions& out);

/// Tells the caller why its request is refused, and removes the request.
void refuse(state& self, request& what, error_kind kind,
            std::string_view detail, actions& out);

/// Like refuse(), but keeps the request.
void reply_refusal(state& self, request& what, error_kind kind,
                   std::string_view detail, actions& out);

/// Keeps an answered request until claims answers, which it always does.
void withdraw(state& self, request& what);

/// Gives back a claim under which nothing was sent.
void return_claim(state& self, request& what, actions& out);

/// Ends a claim whose caller is already answered.
void settle(state& self, request& what, actions& out);

} // namespace gooseberrycove::routing

#endif
