#include "sequential.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::health
{

namespace
{

constexpr double least_shift = 0.2;
constexpr double least_ratio = 3;
/// A failing server still answers some work.
constexpr double most_failing_rate = 0.95;
constexpr double outage_rate = 0.9;

double bounded(double healthy)
{
    return std::clamp(healthy, least_failure_rate, most_failure_rate);
}

} // namespace

double alarm_threshold(error_rates const& declared)
{
    return std::log(parallel_tests / declared.alpha);
}

double wald_bound(error_rates const& declared, double nats)
{
    double const alpha = declared.alpha;
    double const beta = declared.beta;
    double const needed = (1 - beta) * std::log((1 - beta) / alpha) +
                          beta * std::log(beta / (1 - alpha));
    return needed / nats;
}

failure_rates partial_failure(double healthy)
{
    double const p0 = bounded(healthy);
    double const p1 = std::max(p0 + least_shift, least_ratio * p0);
    return {p0, std::min(p1, most_failing_rate)};
}

failure_rates outage(double healthy)
{
    double const p0 = bounded(healthy);
    return {p0, std::max(outage_rate, partial_failure(p0).failing)};
}

double failure_nats(failure_rates const& rates, double samples, double failures)
{
    return failures * std::log(rates.failing / rates.healthy) +
           (samples - failures) *
               std::log((1 - rates.failing) / (1 - rates.healthy));
}

double failure_divergence(double actual, double healthy)
{
    double sum = 0;
    if (actual > 0)
        sum += actual * std::log(actual / healthy);
    if (actual < 1)
        sum += (1 - actual) * std::log((1 - actual) / (1 - healthy));
    return sum;
}

double latency_nats(latency_model const& model, double log_latency)
{
    double const variance = model.deviation * model.deviation;
    double const nats =
        slow_shift / variance * (log_latency - model.mean - slow_shift / 2);
    return std::clamp(nats, -latency_clip, latency_clip);
}

void add_nats(cusum& sum, double nats, bool failed, time_point now)
{
    if (sum.nats <= 0)
        sum = {0, now, 0, 0};
    sum.nats = std::max(0.0, sum.nats + nats);
    ++sum.samples;
    sum.failures += failed ? 1 : 0;
}

} // namespace gooseberrycove::health
