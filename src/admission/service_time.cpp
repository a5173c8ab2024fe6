#include "service_time.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::admission
{

namespace
{

/// Samples in the moving window of the moments. Enough for a stable deviation,
/// few enough to follow a service within a few seconds of load.
constexpr double window_samples = 200;

constexpr double min_deviation_samples = 20;

/// Samples from which survival_probability() uses the mean, until there are
/// enough for a deviation.
constexpr double min_mean_samples = 3;

/// Probability that the service time exceeds \p time.
double tail_probability(service_time_estimate const& estimate, duration time)
{
    // A deviation of 0 would make the end of a run certain.
    constexpr double min_deviation = 0.05;
    double const deviation =
        std::max(min_deviation, std::sqrt(estimate.variance_log));
    double const time_us =
        std::max<double>(1, static_cast<double>(time.count()));
    double const sigmas = (std::log(time_us) - estimate.mean_log) / deviation;
    return 0.5 * std::erfc(sigmas / std::sqrt(2.0));
}

} // namespace

void add_sample(service_time_estimate& estimate, duration latency)
{
    double const latency_us =
        std::max<double>(1, static_cast<double>(latency.count()));
    estimate.samples = std::min(estimate.samples + 1, window_samples);
    double const weight = 1 / estimate.samples;
    estimate.mean_us += weight * (latency_us - estimate.mean_us);
    double const difference = std::log(latency_us) - estimate.mean_log;
    estimate.mean_log += weight * difference;
    estimate.variance_log = (1 - weight) * (estimate.variance_log +
                                            weight * difference * difference);
}

duration expected_time(service_time_estimate const& estimate)
{
    return duration(static_cast<duration::rep>(estimate.mean_us));
}

duration quantile_time(service_time_estimate const& estimate, double sigmas)
{
    if (estimate.samples < min_deviation_samples)
        return expected_time(estimate);
    return duration(static_cast<duration::rep>(std::exp(
        estimate.mean_log + sigmas * std::sqrt(estimate.variance_log))));
}

double survival_probability(service_time_estimate const& estimate,
                            duration elapsed, duration further)
{
    if (estimate.samples < min_mean_samples)
        return 1;
    // Without a deviation the elapsed time is no evidence.
    if (estimate.samples < min_deviation_samples)
        return std::exp(-static_cast<double>(further.count()) /
                        std::max(1.0, estimate.mean_us));
    // Far in the tail the fit is not valid; such a run counts as stuck.
    constexpr double min_tail_probability = 1e-4;
    double const beyond_elapsed = tail_probability(estimate, elapsed);
    return beyond_elapsed < min_tail_probability
               ? 1
               : tail_probability(estimate, elapsed + further) / beyond_elapsed;
}

} // namespace gooseberrycove::admission
