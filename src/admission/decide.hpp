#ifndef GOOSEBERRYCOVE_ADMISSION_DECIDE_HPP
#define GOOSEBERRYCOVE_ADMISSION_DECIDE_HPP

#include "state.hpp"

namespace gooseberrycove::admission
{

/// Queues one attempt or refuses it. Either way the attempt gets exactly one
/// result, in this call or in a later one.
void on_work_request(admission_state& state, work_request&& request,
                     time_point now, actions& out);

/// Removes the attempt when it is queued and cancels it when it is running. A
/// running request that is not repeatable continues, so that its result can be
/// recorded.
void on_cancel(admission_state& state, cancel const& cancellation,
               time_point now, actions& out);

void on_finished(admission_state& state, dispatch::finished&& finished_run,
                 time_point now, actions& out);

void on_homed_server(admission_state& state,
                     members::homed_server const& change, time_point now,
                     actions& out);

/// Replaces the policy of one service.
void on_policy(admission_state& state, service_policy const& policy,
               time_point now, actions& out);

void on_status_update(admission_state& state,
                      health::status_update const& update, time_point now,
                      actions& out);

void on_fence(admission_state& state, claims::fence const& request,
              time_point now, actions& out);

/// Refuses requests that are not expected to end by the end of the shutdown.
void on_shutdown_notice(admission_state& state, shutdown_notice const& notice,
                        time_point now, actions& out);

/// Refuses new requests from now on, and all queued ones. A request that starts
/// late in a shutdown would be interrupted by the end of the process, while
/// other homes can still run it.
void on_drain(admission_state& state, time_point now, actions& out);

/// Refuses queued requests that can no longer be served in time, records
/// overdue runs and reports loads. Returns the time of the next call.
time_point on_tick(admission_state& state, time_point now, actions& out);

} // namespace gooseberrycove::admission

#endif
