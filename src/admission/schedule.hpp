#ifndef GOOSEBERRYCOVE_ADMISSION_SCHEDULE_HPP
#define GOOSEBERRYCOVE_ADMISSION_SCHEDULE_HPP

#include "state.hpp"

namespace gooseberrycove::admission
{

/// The most urgent priority that the service declares; 0 when it declares none.
priority_index urgent_priority(service_policy const& policy);

/// Time after the announcement for which the server is expected to be slow.
duration warmup_of(homed_server_state const& server,
                   service_policy const& policy);

/// Requests that a server may have in flight at \p now.
std::uint32_t slots_of(homed_server_state const& server,
                       service_policy const& policy, time_point now);

/// Whether the server accepts new requests in its present state. A server in
/// probation accepts only repeatable ones.
bool accepts_work(homed_server_state const& server, bool repeatable);

/// Whether a request that was received at \p received is expected to meet the
/// target of its priority when it starts at \p start.
bool meets_target(service_state const& service, priority_index priority,
                  time_point received, time_point start);

/// Starts queued requests of a service while its servers have free slots.
void start_queued(admission_state& state, service_state& service,
                  time_point now, actions& out);

/// Expected time until a request that is queued now starts at the server.
duration expected_wait(service_state const& service,
                       homed_server_state const& server,
                       work_request const& request, time_point now);

/// Whether the request is expected to miss its deadline when it starts at
/// \p start.
bool misses_deadline(service_state const& service, work_request const& request,
                     time_point start);

/// Whether work that starts at \p start may still run when this daemon ends.
/// Always false while no shutdown has begun.
bool outlasts_shutdown(admission_state const& state,
                       service_state const& service, priority_index priority,
                       time_point start);

/// Updates the credits of the service's minimum shares to \p now.
void update_credits(admission_state const& state, service_state& service,
                    time_point now);

} // namespace gooseberrycove::admission

#endif
