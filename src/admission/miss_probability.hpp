#ifndef GOOSEBERRYCOVE_ADMISSION_MISS_PROBABILITY_HPP
#define GOOSEBERRYCOVE_ADMISSION_MISS_PROBABILITY_HPP

#include "state.hpp"

#include <span>

namespace gooseberrycove::admission
{

/// Time for which urgent work that has waited for \p waited may wait further
/// and still meet its target, with the 99th percentile of its service time.
duration target_slack(service_state const& service, duration waited);

/// Probability that at most \p ahead of the \p active runs end within \p slack,
/// so that a request behind \p ahead others does not get a slot in time.
double slot_miss_probability(service_state const& service,
                             std::span<active_run const> active,
                             std::size_t ahead, duration slack, time_point now);

/// Probability that urgent work that arrives now misses its target at the
/// server.
double target_miss_probability(service_state const& service,
                               homed_server_state const& server,
                               time_point now);

} // namespace gooseberrycove::admission

#endif
