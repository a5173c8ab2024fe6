#ifndef GOOSEBERRYCOVE_HEALTH_SEQUENTIAL_HPP
#define GOOSEBERRYCOVE_HEALTH_SEQUENTIAL_HPP

#include <gooseberrycove/types.hpp>

#include <array>
#include <cstdint>
#include <span>

namespace gooseberrycove::health
{

/// Error rates that the tests are designed for.
struct error_rates
{
    /// Probability of a false alarm per sample: one false alarm in 10,000
    /// healthy server-hours at 100 samples/s.
    double alpha = 1.0 / (100.0 * 3600.0 * 10000.0);
    /// Probability of missing a fault.
    double beta = 0.01;
};

/// Number of tests that run in parallel on each server.
inline constexpr int parallel_tests = 3;

/// Evidence in nats at which a test raises an alarm. The parallel tests share
/// the false alarm rate, so that together they keep to \p rates.
double alarm_threshold(error_rates const& rates);

/// Wald's lower bound for the expected samples of any test that meets the
/// error rates, when a sample carries \p nats on average.
double wald_bound(error_rates const& rates, double nats);

/// Failure rates of a healthy server and of a failing one.
struct failure_rates
{
    double healthy = 0.005;
    double failing = 0.205;
};

inline constexpr double min_failure_rate = 0.005;
inline constexpr double max_failure_rate = 0.5;

/// The failing rate is at least 20 points above and three times \p healthy.
failure_rates partial_failure(double healthy);

/// Rates of a server that fails nearly all work. Without this second
/// alternative the detection of an outage needs 1.5 times the samples, because
/// each failure is weighted as if one in five were expected.
failure_rates outage(double healthy);

/// Log-likelihood ratio of \p failures among \p samples.
double failure_nats(failure_rates const& rates, double samples,
                    double failures);

/// Kullback-Leibler divergence of failure rate \p actual from \p healthy.
double failure_divergence(double actual, double healthy);

/// Log latencies of the siblings: median of the means, and deviation.
struct latency_model
{
    double mean = 0;
    double deviation = 0.6;
};

/// A server counts as slow from 2.5 times its siblings' latency on: ln 2.5.
inline constexpr double slow_shift = 0.91629073187415506;

/// Largest evidence of one latency sample, in nats. Healthy servers have rare
/// pauses; this bound tolerates one outlier in twenty samples.
inline constexpr double max_latency_nats = 3.0;

double latency_nats(latency_model const& model, double log_latency);

/// Cumulative sum of a sequential test, with the counts that are needed to
/// evaluate the same samples under another baseline.
struct cusum
{
    double nats = 0;
    /// When the sum last left zero.
    time_point onset;
    std::uint32_t samples = 0;
    std::uint32_t failures = 0;
};

void add_nats(cusum& sum, double nats, bool has_failed, time_point now);

} // namespace gooseberrycove::health

#endif
