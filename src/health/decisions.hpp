#ifndef GOOSEBERRYCOVE_HEALTH_DECISIONS_HPP
#define GOOSEBERRYCOVE_HEALTH_DECISIONS_HPP

#include "state.hpp"

namespace gooseberrycove::health
{

void on_sample(health_duty_state& state, sample const& observation,
               time_point now, actions& out);

void on_sibling_report(health_duty_state& state, sibling_report const& report,
                       time_point now, actions& out);

void on_server_change(health_duty_state& state, server_change const& change,
                      time_point now, actions& out);

void on_probe_result(health_duty_state& state, probe_result const& result,
                     time_point now, actions& out);

void on_report_request(health_duty_state& state, report_request const& request,
                       time_point now, actions& out);

/// Runs due timers and returns the time of the next call.
time_point on_tick(health_duty_state& state, time_point now, actions& out);

/// Usable slots of a server; while it warms up they rise from 1 to the declared
/// number.
std::uint32_t warmup_slots(server_test const& test, time_point now);

} // namespace gooseberrycove::health

#endif
