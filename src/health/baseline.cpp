#include "baseline.hpp"

#include <algorithm>
#include <cmath>
#include <span>
#include <vector>

namespace gooseberrycove::health
{

namespace
{

/// Standard deviations added to a rate that is estimated from few samples. A
/// baseline that is too low multiplies false alarms; one that is too high only
/// delays an alarm.
constexpr double rate_margin_deviations = 1.5;

/// Weight of the long-term rate, in samples, against the counts of the last
/// 10 s, so that one failure among few samples does not move the rate much.
constexpr double recent_prior_samples = 50;

/// Weight of the expected rate, in samples, against the counts since the onset
/// of an alarm.
constexpr double fresh_prior_samples = 20;

/// Samples from which a sibling's mean latency is used in the median.
constexpr double min_mean_samples = 3;

double decay_factor(duration elapsed, duration time_constant)
{
    return std::exp(-static_cast<double>(elapsed.count()) /
                    static_cast<double>(time_constant.count()));
}

void add(tally& sum, tally const& added)
{
    sum.samples += added.samples;
    sum.failures += added.failures;
    sum.log_sum += added.log_sum;
}

tally tally_of(server_status const& status)
{
    double const successes = std::max(0.0, status.samples - status.failures);
    return {status.samples, status.failures,
            successes * status.mean_log_latency};
}

/// Work between two reports, computed from their decayed counts.
tally work_between_reports(sibling_record const& before,
                           server_status const& next, time_point received)
{
    double const factor =
        decay_factor(received - before.received, report_time_constant);
    tally const old = tally_of(before.last_status);
    tally const sum = tally_of(next);
    tally work;
    work.samples = std::max(0.0, sum.samples - factor * old.samples);
    work.failures =
        std::clamp(sum.failures - factor * old.failures, 0.0, work.samples);
    double const successes = work.samples - work.failures;
    if (successes > 0)
        work.log_sum = std::max(0.0, sum.log_sum - factor * old.log_sum);
    return work;
}

double upper_failure_rate(tally const& sum)
{
    return (sum.failures +
            rate_margin_deviations * std::sqrt(sum.failures + 1)) /
           std::max(1.0, sum.samples);
}

std::optional<double> median(std::vector<double>& values)
{
    if (values.empty())
        return std::nullopt;
    std::sort(values.begin(), values.end());
    std::size_t const half = values.size() / 2;
    return values.size() % 2 == 1 ? values[half]
                                  : (values[half - 1] + values[half]) / 2;
}

/// Largest number of intervals of a sibling; at this number the older half is
/// merged in pairs.
constexpr std::size_t max_intervals = 32;

void add_interval(sibling_record& sibling,
                  sibling_record::report_interval const& interval)
{
    auto& intervals = sibling.intervals;
    std::erase_if(intervals, [&](sibling_record::report_interval const& old)
                  { return interval.end - old.end > baseline_time_constant; });
    intervals.push_back(interval);
    if (intervals.size() < max_intervals)
        return;
    for (std::size_t i = 0; i < max_intervals / 4; ++i)
    {
        sibling_record::report_interval merged = intervals[2 * i];
        merged.end = intervals[2 * i + 1].end;
        add(merged.sum, intervals[2 * i + 1].sum);
        intervals[i] = merged;
    }
    intervals.erase(intervals.begin() + max_intervals / 4,
                    intervals.begin() + max_intervals / 2);
}

/// The expected work of a sibling is computed from this time before an onset,
/// because the long-term counts could still contain an earlier fault.
constexpr duration pre_onset_window = std::chrono::seconds(15);

tally work_before_onset(sibling_record const& sibling, time_point onset)
{
    tally sum;
    for (sibling_record::report_interval const& interval : sibling.intervals)
    {
        if (interval.end <= onset && interval.start >= onset - pre_onset_window)
            add(sum, interval.sum);
    }
    return sum.samples > 0 ? sum : sibling.long_term.sum;
}

/// The part of an interval's work that was done after \p onset.
tally work_after_onset(sibling_record::report_interval const& interval,
                       tally const& before, time_point onset)
{
    if (interval.end <= onset || interval.end <= interval.start)
        return {};
    if (interval.start >= onset || before.samples <= 0)
        return interval.sum;
    double const share =
        static_cast<double>((onset - interval.start).count()) /
        static_cast<double>((interval.end - interval.start).count());
    double const samples = interval.sum.samples * share;
    double const scale = samples / before.samples;
    tally part;
    part.samples = interval.sum.samples - samples;
    part.failures = std::clamp(interval.sum.failures - scale * before.failures,
                               0.0, part.samples);
    part.log_sum = std::max(0.0, interval.sum.log_sum - scale * before.log_sum);
    return part;
}

/// Ejected siblings and those in probation are no reference for healthy work.
bool is_reference(std::string_view name, sibling_record const& sibling,
                  std::string_view server)
{
    return name != server &&
           sibling.last_status.health == health_state::healthy;
}

/// Whether a report repeats the last counts; such a report has no evidence
/// about the time since. The counts of a server with work change at least by
/// their decay.
bool is_unchanged(sibling_record const& sibling, server_status const& status)
{
    return status.samples > 0 &&
           status.samples == sibling.last_status.samples &&
           status.failures == sibling.last_status.failures &&
           status.health == sibling.last_status.health;
}

} // namespace

void decay_to(decayed_tally& counts, time_point now, duration time_constant)
{
    if (now <= counts.updated)
        return;
    double const factor = decay_factor(now - counts.updated, time_constant);
    counts.sum.samples *= factor;
    counts.sum.failures *= factor;
    counts.sum.log_sum *= factor;
    counts.updated = now;
}

void apply_report(sibling_map& siblings, server_status const& status,
                  time_point received)
{
    auto const [entry, is_new] = siblings.try_emplace(status.server);
    sibling_record& sibling = entry->second;
    if (!is_new &&
        (received <= sibling.received || is_unchanged(sibling, status)))
        return;
    bool const is_same_run =
        !is_new && status.sequence > sibling.last_status.sequence;
    tally const work = is_same_run
                           ? work_between_reports(sibling, status, received)
                           : tally_of(status);
    decay_to(sibling.long_term, received, baseline_time_constant);
    add(sibling.long_term.sum, work);
    time_point const since = is_same_run ? sibling.received : received;
    add_interval(sibling, {since, received, work});
    sibling.last_status = status;
    sibling.received = received;
}

void expire_siblings(sibling_map& siblings, time_point now)
{
    std::erase_if(siblings, [now](auto const& entry)
                  { return now - entry.second.received > sibling_expiry; });
}

baseline compute_baseline(sibling_map const& siblings, std::string_view server,
                          time_point now)
{
    baseline result;
    tally long_term;
    tally recent;
    std::vector<double> means;
    for (auto const& [name, sibling] : siblings)
    {
        if (!is_reference(name, sibling, server))
            continue;
        ++result.siblings;
        decayed_tally counts = sibling.long_term;
        decay_to(counts, now, baseline_time_constant);
        add(long_term, counts.sum);
        tally const last = tally_of(sibling.last_status);
        add(recent, last);
        if (last.samples - last.failures >= min_mean_samples)
            means.push_back(sibling.last_status.mean_log_latency);
    }
    double const long_term_rate = upper_failure_rate(long_term);
    double const recent_rate =
        (recent.failures + recent_prior_samples * long_term_rate) /
        (recent.samples + recent_prior_samples);
    result.failure_rate = std::max(
        min_failure_rate,
        std::max(std::min(long_term_rate, max_failure_rate), recent_rate));
    auto const median_of_means = median(means);
    result.has_latency = median_of_means.has_value();
    result.mean_log_latency = median_of_means.value_or(0);
    return result;
}

fresh_counts fresh_counts_since(sibling_map const& siblings,
                                std::string_view server, time_point onset,
                                time_point requested)
{
    fresh_counts result;
    for (auto const& [name, sibling] : siblings)
    {
        if (name == server)
            continue;
        ++result.siblings;
        result.reported += sibling.received > requested ? 1 : 0;
        if (!is_reference(name, sibling, server))
            continue;
        tally const before = work_before_onset(sibling, onset);
        for (sibling_record::report_interval const& interval :
             sibling.intervals)
            add(result.sum, work_after_onset(interval, before, onset));
    }
    return result;
}

void apply_shared_level(shared_level const& level, baseline& expected,
                        time_point now)
{
    if (now >= level.expires_at)
        return;
    expected.failure_rate = std::max(expected.failure_rate, level.failure_rate);
    expected.mean_log_latency =
        std::max(expected.mean_log_latency, level.mean_log_latency);
}

double fresh_log_latency(fresh_counts const& fresh, double expected)
{
    double const successes = fresh.sum.samples - fresh.sum.failures;
    return successes < min_mean_samples ? expected
                                        : fresh.sum.log_sum / successes;
}

double fresh_failure_rate(fresh_counts const& fresh, double expected)
{
    return (fresh.sum.failures + fresh_prior_samples * expected) /
           (fresh.sum.samples + fresh_prior_samples);
}

} // namespace gooseberrycove::health
