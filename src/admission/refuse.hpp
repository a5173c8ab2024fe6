#ifndef GOOSEBERRYCOVE_ADMISSION_REFUSE_HPP
#define GOOSEBERRYCOVE_ADMISSION_REFUSE_HPP

#include "state.hpp"

namespace gooseberrycove::admission
{

/// A result of an attempt with the statuses of the service's servers.
work_result make_result(state const& self, work_request const& what,
                        error_kind kind, outcome result);

/// Answers an attempt that was not started, with the outcome that the table of
/// errors has; a cancelled attempt that was not started has not run.
void refuse(state const& self, work_request const& what, error_kind kind,
            std::string_view reason, actions& out);

/// The same for an entry taken out of a queue; settles its claim as refused.
void refuse_queued(state& self, service_state& service, work_request&& taken,
                   error_kind kind, std::string_view reason, time_point now,
                   actions& out);

/// Refuses all queued work that \p matches selects.
void refuse_matching(state& self, service_state& service,
                     eligible const& matches, error_kind kind,
                     std::string_view reason, time_point now, actions& out);

/// Counts a server's queued work up or down; no server is a name too.
void count_queued(state& self, std::string const& server, int change);

decision make_decision(state const& self, event what, work_request const& of,
                       std::string_view server, std::string_view reason);

} // namespace gooseberrycove::admission

#endif
