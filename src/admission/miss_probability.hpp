#ifndef GOOSEBERRYCOVE_ADMISSION_MISS_PROBABILITY_HPP
#define GOOSEBERRYCOVE_ADMISSION_MISS_PROBABILITY_HPP

#include "state.hpp"

#include <span>

namespace gooseberrycove::admission
{

/// Time that urgent work may wait and still meet its target, after it has
/// waited for \p waited. Allows for the 99th percentile of its service time.
duration target_slack(service_state const& service, duration waited);

/// Probability that at most \p ahead of the runs end within \p slack, so that
/// work behind that many others does not get a slot in time.
double slot_miss_probability(service_state const& service,
                             std::span<active_run const> active,
                             std::size_t ahead, duration slack, time_point now);

/// Probability that urgent work that arrives now misses its target here.
double target_miss_probability(service_state const& service,
                               homed_server_state const& server,
                               time_point now);

} // namespace gooseberrycove::admission

#endif
