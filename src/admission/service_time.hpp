#ifndef GOOSEBERRYCOVE_ADMISSION_SERVICE_TIME_HPP
#define GOOSEBERRYCOVE_ADMISSION_SERVICE_TIME_HPP

#include <gooseberrycove/types.hpp>

namespace gooseberrycove::admission
{

/// Moving moments of the service time of one priority of one service.
struct service_time_estimate
{
    double samples = 0;
    double mean_us = 0;
    double mean_log = 0;
    double variance_log = 0;
};

void add_sample(service_time_estimate& estimate, duration latency);

/// Mean service time; zero before the first sample.
duration expected_time(service_time_estimate const& estimate);

/// Quantile of the log-normal fit, \p sigmas deviations above the median. The
/// mean while there are too few samples for a deviation.
duration quantile_time(service_time_estimate const& estimate, double sigmas);

/// Probability that a request that has run for \p elapsed runs for more than
/// \p further, from the log-normal fit. 1 while there are too few samples.
double survival_probability(service_time_estimate const& estimate,
                            duration elapsed, duration further);

} // namespace gooseberrycove::admission

#endif
