#include "estimate.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::admission
{

namespace
{

/// Samples over which the moments move. Long enough for a stable deviation,
/// short enough to follow a service within a few seconds of load.
constexpr double window = 200;

constexpr double samples_for_deviation = 20;

/// Samples from which on the mean alone is used.
constexpr double samples_for_mean = 3;

/// Probability that the service time exceeds \p time.
double tail(service_estimate const& estimate, duration time)
{
    // A deviation of 0 would make the end of work a certainty.
    constexpr double least_deviation = 0.05;
    double const deviation =
        std::max(least_deviation, std::sqrt(estimate.variance_log));
    double const value = std::max<double>(1, static_cast<double>(time.count()));
    double const sigmas = (std::log(value) - estimate.mean_log) / deviation;
    return 0.5 * std::erfc(sigmas / std::sqrt(2.0));
}

} // namespace

void add_sample(service_estimate& estimate, duration latency)
{
    double const value =
        std::max<double>(1, static_cast<double>(latency.count()));
    estimate.samples = std::min(estimate.samples + 1, window);
    double const weight = 1 / estimate.samples;
    estimate.mean_us += weight * (value - estimate.mean_us);
    double const difference = std::log(value) - estimate.mean_log;
    estimate.mean_log += weight * difference;
    estimate.variance_log = (1 - weight) * (estimate.variance_log +
                                            weight * difference * difference);
}

duration expected_time(service_estimate const& estimate)
{
    return duration(static_cast<duration::rep>(estimate.mean_us));
}

duration quantile_time(service_estimate const& estimate, double sigmas)
{
    if (estimate.samples < samples_for_deviation)
        return expected_time(estimate);
    return duration(static_cast<duration::rep>(std::exp(
        estimate.mean_log + sigmas * std::sqrt(estimate.variance_log))));
}

double survival(service_estimate const& estimate, duration elapsed,
                duration further)
{
    if (estimate.samples < samples_for_mean)
        return 1;
    // Without a deviation nothing is known of the time that has elapsed.
    if (estimate.samples < samples_for_deviation)
        return std::exp(-static_cast<double>(further.count()) /
                        std::max(1.0, estimate.mean_us));
    // Far in the tail the fit says nothing; such work counts as stuck.
    constexpr double least_tail = 1e-4;
    double const now = tail(estimate, elapsed);
    return now < least_tail ? 1 : tail(estimate, elapsed + further) / now;
}

} // namespace gooseberrycove::admission
