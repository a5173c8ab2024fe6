#ifndef GOOSEBERRYCOVE_HEALTH_BASELINE_HPP
#define GOOSEBERRYCOVE_HEALTH_BASELINE_HPP

#include "sequential.hpp"
#include <gooseberrycove/health.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::health
{

/// Counts of work; log_sum is the sum of the successes' log latencies.
struct tally
{
    double samples = 0;
    double failures = 0;
    double log_sum = 0;
};

/// Exponentially decayed tally.
struct decayed_tally
{
    tally sum;
    time_point updated;
};

/// Time constant of the counts in a server_status. Sender and receiver must use
/// the same value, because the receiver computes the difference of two reports.
inline constexpr duration report_time_constant = std::chrono::seconds(10);

/// Time constant of the baseline: long enough for 300 samples at a service with
/// one request per second at each server.
inline constexpr duration baseline_time_constant = std::chrono::seconds(120);

/// A sibling without a report for this long is removed.
inline constexpr duration sibling_expiry = std::chrono::seconds(30);

void decay_to(decayed_tally& counts, time_point now, duration time_constant);

/// Counts from the reports about one server of the service.
struct sibling_record
{
    server_status last_status;
    time_point received;
    decayed_tally long_term;
    /// Work between two reports.
    struct report_interval
    {
        time_point start;
        time_point end;
        tally sum;
    };
    /// Newest last, for comparison over the time of an alarm. Older ones are
    /// merged rather than dropped: at few samples per second an alarm's onset
    /// is a minute in the past.
    std::vector<report_interval> intervals;
};

using sibling_map = std::map<std::string, sibling_record, std::less<>>;

/// Applies one report. A report that is older or repeats the last counts is
/// ignored.
void apply_report(sibling_map& siblings, server_status const& status,
                  time_point received);

/// Removes siblings without a recent report.
void expire_siblings(sibling_map& siblings, time_point now);

struct baseline
{
    /// At least min_failure_rate. Above max_failure_rate the failure tests are
    /// not defined: most work of the siblings fails too.
    double failure_rate = max_failure_rate;
    double mean_log_latency = 0;
    bool has_latency = false;
    std::size_t siblings = 0;
};

/// Computes the baseline of \p server from its siblings.
baseline compute_baseline(sibling_map const& siblings, std::string_view server,
                          time_point now);

/// Failure rate and latency of the siblings when an alarm was cleared. The
/// decayed counts take long to reflect a fault that all siblings share.
struct shared_level
{
    double failure_rate = 0;
    double mean_log_latency = 0;
    time_point expires_at;
};

/// Raises \p expected to \p level until the level expires.
void apply_shared_level(shared_level const& level, baseline& expected,
                        time_point now);

/// The siblings' work since an alarm's onset. When a report also covers time
/// before the onset, the expected work of that time is subtracted.
struct fresh_counts
{
    std::size_t siblings = 0;
    /// Siblings that reported after the request.
    std::size_t reported = 0;
    tally sum;
};

/// Mean log latency over all siblings; \p expected while they have too few
/// successes.
double fresh_log_latency(fresh_counts const& fresh, double expected);

/// \param requested  when reports were requested; later reports count as
/// `reported`
fresh_counts fresh_counts_since(sibling_map const& siblings,
                                std::string_view server, time_point onset,
                                time_point requested);

/// Failure rate of the siblings during an alarm, weighted towards \p expected
/// while they have few samples; without an upper bound.
double fresh_failure_rate(fresh_counts const& fresh, double expected);

} // namespace gooseberrycove::health

#endif
