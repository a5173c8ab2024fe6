#include "baseline.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace gooseberrycove::health
{

namespace
{

/// Standard deviations that a rate from few samples is raised by. A baseline
/// that is too low multiplies false alarms; one that is too high only delays.
constexpr double rate_margin = 1.5;

/// Samples of the long baseline that the counts of the last 10 s are mixed
/// with, so that one failure among few samples does not move it much.
constexpr double recent_prior = 50;

/// The same for the short time of an alarm.
constexpr double fresh_prior = 10;

/// Samples from which a sibling's mean latency is used.
constexpr double least_mean_samples = 3;

double decay_factor(duration elapsed, duration memory)
{
    return std::exp(-static_cast<double>(elapsed.count()) /
                    static_cast<double>(memory.count()));
}

void add(tally& to, tally const& what)
{
    to.samples += what.samples;
    to.failures += what.failures;
    to.log_sum += what.log_sum;
}

tally tally_of(server_status const& status)
{
    double const answered = std::max(0.0, status.samples - status.failures);
    return {status.samples, status.failures,
            answered * status.mean_log_latency};
}

/// Work done between two reports, from their decayed counts.
tally difference(sibling const& before, server_status const& next,
                 time_point received)
{
    double const kept = decay_factor(received - before.received, report_memory);
    tally const old = tally_of(before.last);
    tally const sum = tally_of(next);
    tally step;
    step.samples = std::max(0.0, sum.samples - kept * old.samples);
    step.failures =
        std::clamp(sum.failures - kept * old.failures, 0.0, step.samples);
    double const answered = step.samples - step.failures;
    if (answered > 0)
        step.log_sum = std::max(0.0, sum.log_sum - kept * old.log_sum);
    return step;
}

double raised_rate(tally const& sum)
{
    return (sum.failures + rate_margin * std::sqrt(sum.failures + 1)) /
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

/// The part of a step's work that was done after \p onset.
tally part_after(sibling::step const& step, baseline const& usual,
                 double usual_mean, time_point onset)
{
    if (step.received <= onset || step.received <= step.since)
        return {};
    if (step.since >= onset)
        return step.sum;
    double const before =
        static_cast<double>((onset - step.since).count()) /
        static_cast<double>((step.received - step.since).count());
    double const samples = step.sum.samples * before;
    double const failures = samples * usual.failure_rate;
    tally part;
    part.samples = step.sum.samples - samples;
    part.failures = std::clamp(step.sum.failures - failures, 0.0, part.samples);
    part.log_sum =
        std::max(0.0, step.sum.log_sum - (samples - failures) * usual_mean);
    return part;
}

/// Ejected siblings and those in probation say nothing about healthy service.
bool is_reference(std::string_view name, sibling const& one,
                  std::string_view server)
{
    return name != server && one.last.health == health_state::healthy;
}

} // namespace

void decay_to(decayed_tally& what, time_point now, duration memory)
{
    if (now <= what.at)
        return;
    double const kept = decay_factor(now - what.at, memory);
    what.sum.samples *= kept;
    what.sum.failures *= kept;
    what.sum.log_sum *= kept;
    what.at = now;
}

void take_report(sibling_map& siblings, server_status const& status,
                 time_point received)
{
    auto const [place, is_new] = siblings.try_emplace(status.server);
    sibling& one = place->second;
    if (!is_new && received <= one.received)
        return;
    bool const same_run = !is_new && status.sequence > one.last.sequence;
    tally const step =
        same_run ? difference(one, status, received) : tally_of(status);
    decay_to(one.slow, received, baseline_memory);
    add(one.slow.sum, step);
    time_point const since = same_run ? one.received : received;
    one.steps[one.step_count % one.steps.size()] = {since, received, step};
    ++one.step_count;
    one.last = status;
    one.received = received;
}

void expire_siblings(sibling_map& siblings, time_point now)
{
    std::erase_if(siblings, [now](auto const& entry)
                  { return now - entry.second.received > sibling_expiry; });
}

baseline baseline_of(sibling_map const& siblings, std::string_view server,
                     time_point now)
{
    baseline result;
    tally slow;
    tally recent;
    std::vector<double> means;
    for (auto const& [name, one] : siblings)
    {
        if (!is_reference(name, one, server))
            continue;
        ++result.siblings;
        decayed_tally kept = one.slow;
        decay_to(kept, now, baseline_memory);
        add(slow, kept.sum);
        tally const last = tally_of(one.last);
        add(recent, last);
        if (last.samples - last.failures >= least_mean_samples)
            means.push_back(one.last.mean_log_latency);
    }
    double const usual = raised_rate(slow);
    double const now_rate = (recent.failures + recent_prior * usual) /
                            (recent.samples + recent_prior);
    result.failure_rate = std::clamp(std::max(usual, now_rate),
                                     least_failure_rate, most_failure_rate);
    auto const middle = median(means);
    result.has_latency = middle.has_value();
    result.mean_log_latency = middle.value_or(0);
    return result;
}

fresh_view fresh_of(sibling_map const& siblings, std::string_view server,
                    baseline const& usual, time_point onset, time_point raised)
{
    fresh_view result;
    std::vector<double> means;
    for (auto const& [name, one] : siblings)
    {
        if (name == server)
            continue;
        ++result.siblings;
        result.reported += one.received > raised ? 1 : 0;
        if (!is_reference(name, one, server))
            continue;
        decayed_tally const& slow = one.slow;
        double const answered_before = slow.sum.samples - slow.sum.failures;
        double const usual_mean = answered_before > 0
                                      ? slow.sum.log_sum / answered_before
                                      : usual.mean_log_latency;
        tally own;
        std::size_t const count = std::min(one.step_count, one.steps.size());
        for (std::size_t i = 0; i < count; ++i)
        {
            add(own, part_after(one.steps[i], usual, usual_mean, onset));
        }
        add(result.sum, own);
        double const answered = own.samples - own.failures;
        if (answered >= least_mean_samples)
            means.push_back(own.log_sum / answered);
    }
    if (2 * means.size() >= result.siblings)
        result.mean_log_latency = median(means);
    return result;
}

double fresh_failure_rate(fresh_view const& fresh, double usual)
{
    return (fresh.sum.failures + fresh_prior * usual) /
           (fresh.sum.samples + fresh_prior);
}

} // namespace gooseberrycove::health
