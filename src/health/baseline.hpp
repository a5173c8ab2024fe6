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

/// Counts of work; log_sum covers the answered part.
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
    time_point at;
};

/// Time constant of the counts that statuses carry. Reader and writer must
/// agree on it, because the reader takes the difference of two reports.
inline constexpr duration report_memory = std::chrono::seconds(10);

/// Time constant of the baseline: long enough for 300 samples at a service
/// that gets one request per second and server.
inline constexpr duration baseline_memory = std::chrono::seconds(120);

/// A sibling without a report for this long is not known any more.
inline constexpr duration sibling_expiry = std::chrono::seconds(30);

void decay_to(decayed_tally& what, time_point now, duration memory);

/// What the reports of one server of the service say.
struct sibling
{
    server_status last;
    time_point received;
    decayed_tally slow;
    /// Work between two reports, newest last, for comparison over the time
    /// of an alarm. Older steps are merged: at few samples per second an
    /// alarm's onset lies a minute back.
    struct step
    {
        time_point since;
        time_point received;
        tally sum;
    };
    std::vector<step> steps;
};

using sibling_map = std::map<std::string, sibling, std::less<>>;

/// Takes one report; a repeated or older one is ignored.
void take_report(sibling_map& siblings, server_status const& status,
                 time_point received);

/// Removes siblings without a recent report.
void expire_siblings(sibling_map& siblings, time_point now);

struct baseline
{
    /// At least least_failure_rate. Above most_failure_rate the failure tests
    /// are not defined: most work of the siblings fails too.
    double failure_rate = most_failure_rate;
    double mean_log_latency = 0;
    bool has_latency = false;
    std::size_t siblings = 0;
};

/// Baseline of \p server from its siblings.
baseline baseline_of(sibling_map const& siblings, std::string_view server,
                     time_point now);

/// Level that the siblings were found at when an alarm was cleared. Their
/// decayed counts follow a fault that all share only slowly.
struct shared_level
{
    double failure_rate = 0;
    double mean_log_latency = 0;
    time_point until;
};

/// Raises \p usual to a level found recently.
void apply(shared_level const& level, baseline& usual, time_point now);

/// The siblings' work since an alarm's onset. Of a report that covers time
/// before the onset too, the usual work of that time is subtracted.
struct fresh_view
{
    std::size_t siblings = 0;
    /// Siblings that reported after they were asked.
    std::size_t reported = 0;
    tally sum;
};

/// Mean over all siblings; \p usual while they answered nothing.
double fresh_log_latency(fresh_view const& fresh, double usual);

fresh_view fresh_of(sibling_map const& siblings, std::string_view server,
                    time_point onset, time_point asked);

/// Failure rate of the siblings during an alarm, drawn towards \p usual while
/// they have few samples; not bounded above.
double fresh_failure_rate(fresh_view const& fresh, double usual);

} // namespace gooseberrycove::health

#endif
