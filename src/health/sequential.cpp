#include "sequential.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::health
{

namespace
{

constexpr double min_rate_increase = 0.2;
constexpr double min_rate_ratio = 3;
/// A failing server still completes some work.
constexpr double max_failing_rate = 0.95;
constexpr double outage_rate = 0.9;

double clamp_healthy_rate(double healthy)
{
    return std::clamp(healthy, min_failure_rate, max_failure_rate);
}

} // namespace

double alarm_threshold(error_rates const& rates)
{
    return std::log(parallel_tests / rates.alpha);
}

double wald_bound(error_rates const& rates, double nats)
{
    double const alpha = rates.alpha;
    double const beta = rates.beta;
    double const needed = (1 - beta) * std::log((1 - beta) / alpha) +
                          beta * std::log(beta / (1 - alpha));
    return needed / nats;
}

failure_rates partial_failure(double healthy)
{
    double const healthy_rate = clamp_healthy_rate(healthy);
    double const failing_rate = std::max(healthy_rate + min_rate_increase,
                                         min_rate_ratio * healthy_rate);
    return {healthy_rate, std::min(failing_rate, max_failing_rate)};
}

failure_rates outage(double healthy)
{
    double const healthy_rate = clamp_healthy_rate(healthy);
    return {healthy_rate,
            std::max(outage_rate, partial_failure(healthy_rate).failing)};
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
    return std::clamp(nats, -max_latency_nats, max_latency_nats);
}

void add_nats(cusum& sum, double nats, bool has_failed, time_point now)
{
    if (sum.nats <= 0)
        sum = {0, now, 0, 0};
    sum.nats = std::max(0.0, sum.nats + nats);
    ++sum.samples;
    sum.failures += has_failed ? 1 : 0;
}

} // namespace gooseberrycove::health
