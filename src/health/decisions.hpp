#ifndef GOOSEBERRYCOVE_HEALTH_DECISIONS_HPP
#define GOOSEBERRYCOVE_HEALTH_DECISIONS_HPP

#include "state.hpp"

namespace gooseberrycove::health
{

void on_sample(state& self, sample const& what, time_point now, actions& out);

void on_sibling_report(state& self, sibling_report const& report,
                       time_point now, actions& out);

void on_server_known(state& self, server_change const& what, time_point now,
                     actions& out);

void on_probe_result(state& self, probe_result const& result, time_point now,
                     actions& out);

void on_report_request(state& self, report_request const& request,
                       time_point now, actions& out);

/// Runs due timers and returns the time of the next call.
time_point on_tick(state& self, time_point now, actions& out);

/// Slots of a server that warms up: from 1 to the declared number.
std::uint32_t warm_slots(server_test const& test, time_point now);

} // namespace gooseberrycove::health

#endif
