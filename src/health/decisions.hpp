#ifndef GOOSEBERRYCOVE_HEALTH_DECISIONS_HPP
#define GOOSEBERRYCOVE_HEALTH_DECISIONS_HPP

#include "state.hpp"

namespace gooseberrycove::health
{

void on_sample(state& health, sample const& observation, time_point now,
               actions& out);

void on_sibling_report(state& health, sibling_report const& report,
                       time_point now, actions& out);

void on_server_change(state& health, server_change const& change,
                      time_point now, actions& out);

void on_probe_result(state& health, probe_result const& result, time_point now,
                     actions& out);

void on_report_request(state& health, report_request const& request,
                       time_point now, actions& out);

/// Runs due timers and returns the time of the next call.
time_point on_tick(state& health, time_point now, actions& out);

/// Usable slots of a server; while it warms up they rise from 1 to the declared
/// number.
std::uint32_t warmup_slots(server_test const& test, time_point now);

} // namespace gooseberrycove::health

#endif
