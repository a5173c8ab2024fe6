#ifndef GOOSEBERRYCOVE_ADMISSION_REFUSE_HPP
#define GOOSEBERRYCOVE_ADMISSION_REFUSE_HPP

#include "state.hpp"

namespace gooseberrycove::admission
{

/// A result of an attempt with the statuses of the service's servers.
work_result make_result(admission_state const& state,
                        work_request const& request, error_kind kind,
                        outcome run_outcome);

/// Answers an attempt that was not started, with the outcome that the table of
/// errors has; a cancelled attempt that was not started has not run.
void refuse(admission_state const& state, work_request const& request,
            error_kind kind, std::string_view reason, actions& out);

/// The same for an entry taken out of a queue; settles its claim as refused.
void refuse_queued(admission_state& state, service_state& service,
                   work_request&& entry, error_kind kind,
                   std::string_view reason, time_point now, actions& out);

/// Refuses all queued work that \p matches selects.
void refuse_matching(admission_state& state, service_state& service,
                     entry_predicate const& matches, error_kind kind,
                     std::string_view reason, time_point now, actions& out);

/// Counts a server's queued work up or down; no server is a name too.
void adjust_queued(admission_state& state, std::string const& server,
                   int change);

decision make_decision(admission_state const& state, event event_id,
                       work_request const& request, std::string_view server,
                       std::string_view reason);

} // namespace gooseberrycove::admission

#endif
