#ifndef GOOSEBERRYCOVE_ADMISSION_DECIDE_HPP
#define GOOSEBERRYCOVE_ADMISSION_DECIDE_HPP

#include "state.hpp"

namespace gooseberrycove::admission
{

/// Queues one attempt or refuses it. An accepted attempt gets one result.
void on_work_request(admission_state& state, work_request&& request,
                     time_point now, actions& out);

/// Removes queued work. Running repeatable work is cancelled; running
/// non-repeatable work goes on, so that its answer can be recorded.
void on_cancel(admission_state& state, cancel const& cancellation,
               time_point now, actions& out);

void on_finished(admission_state& state, dispatch::finished&& done,
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

/// Refuses new work from now on and gives queued work back: what starts late in
/// a shutdown would be cut off by its end, and other homes can still run it.
void on_drain(admission_state& state, time_point now, actions& out);

/// Refuses queued work that is past its deadline and reports loads. Returns
/// the time of the next call.
time_point on_tick(admission_state& state, time_point now, actions& out);

} // namespace gooseberrycove::admission

#endif
