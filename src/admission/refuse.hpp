#ifndef GOOSEBERRYCOVE_ADMISSION_REFUSE_HPP
#define GOOSEBERRYCOVE_ADMISSION_REFUSE_HPP

#include "state.hpp"

namespace gooseberrycove::admission
{

/// Makes the result of an attempt, with the statuses of the service's servers.
work_result make_result(admission_state const& state,
                        work_request const& request, error_kind kind,
                        outcome run_outcome, time_point now);

/// Refuses an attempt that was not started, with the outcome from the table of
/// errors. A cancelled attempt that was not started is reported as not run.
void refuse(admission_state const& state, work_request const& request,
            error_kind kind, std::string_view reason, time_point now,
            actions& out);

/// Refuses an entry that was removed from a queue, and settles its claim as
/// refused.
void refuse_queued(admission_state& state, service_state& service,
                   work_request&& entry, error_kind kind,
                   std::string_view reason, time_point now, actions& out);

/// Refuses all queued requests that \p matches selects.
void refuse_matching(admission_state& state, service_state& service,
                     entry_predicate const& matches, error_kind kind,
                     std::string_view reason, time_point now, actions& out);

/// Refuses queued requests that no server here may run any more.
void refuse_unservable(admission_state& state, service_state& service,
                       error_kind kind, std::string_view reason, time_point now,
                       actions& out);

/// Refuses a request whose run would make calls that fail, for each home of its
/// service alike.
void refuse_for_calls(admission_state const& state, work_request const& request,
                      duration wait, time_point now, actions& out);

/// Refuses the queued requests of a priority that must not run twice, because
/// the calls of such runs have begun to fail.
void refuse_queued_for_calls(admission_state& state, service_state& service,
                             priority_index priority, time_point now,
                             actions& out);

/// Adds \p change to the server's number of queued requests. Ignores names that
/// are not homed here, such as the empty name of a request without a chosen
/// server.
void adjust_queued(admission_state& state, std::string const& server,
                   int change);

decision make_decision(admission_state const& state, event event_id,
                       work_request const& request, std::string_view server,
                       std::string_view reason);

} // namespace gooseberrycove::admission

#endif
