#include "baseline.hpp"

#include <algorithm>
#include <cmath>
#include <span>
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
constexpr double fresh_prior = 20;

/// Samples from which a sibling's mean latency is used in the median.
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

/// Bound of sibling::steps; the older half is merged in pairs at it.
constexpr std::size_t max_steps = 32;

void add_step(sibling& one, sibling::step const& step)
{
    auto& steps = one.steps;
    std::erase_if(steps, [&](sibling::step const& old)
                  { return step.received - old.received > baseline_memory; });
    steps.push_back(step);
    if (steps.size() < max_steps)
        return;
    for (std::size_t i = 0; i < max_steps / 4; ++i)
    {
        sibling::step merged = steps[2 * i];
        merged.received = steps[2 * i + 1].received;
        add(merged.sum, steps[2 * i + 1].sum);
        steps[i] = merged;
    }
    steps.erase(steps.begin() + max_steps / 4, steps.begin() + max_steps / 2);
}

/// Time before an onset that stands for the usual work of a sibling. The long
/// baseline would still hold an earlier fault.
constexpr duration before_time = std::chrono::seconds(15);

tally work_before(sibling const& one, time_point onset)
{
    tally sum;
    for (sibling::step const& step : one.steps)
    {
        if (step.received <= onset && step.since >= onset - before_time)
            add(sum, step.sum);
    }
    return sum.samples > 0 ? sum : one.slow.sum;
}

/// The part of a step's work that was done after \p onset.
tally part_after(sibling::step const& step, tally const& before,
                 time_point onset)
{
    if (step.received <= onset || step.received <= step.since)
        return {};
    if (step.since >= onset || before.samples <= 0)
        return step.sum;
    double const share =
        static_cast<double>((onset - step.since).count()) /
        static_cast<double>((step.received - step.since).count());
    double const samples = step.sum.samples * share;
    double const scale = samples / before.samples;
    tally part;
    part.samples = step.sum.samples - samples;
    part.failures = std::clamp(step.sum.failures - scale * before.failures, 0.0,
                               part.samples);
    part.log_sum = std::max(0.0, step.sum.log_sum - scale * before.log_sum);
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
    add_step(one, {since, received, step});
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
    result.failure_rate =
        std::max(least_failure_rate,
                 std::max(std::min(usual, most_failure_rate), now_rate));
    auto const middle = median(means);
    result.has_latency = middle.has_value();
    result.mean_log_latency = middle.value_or(0);
    return result;
}

fresh_view fresh_of(sibling_map const& siblings, std::string_view server,
                    time_point onset, time_point asked)
{
    fresh_view result;
    for (auto const& [name, one] : siblings)
    {
        if (name == server)
            continue;
        ++result.siblings;
        result.reported += one.received > asked ? 1 : 0;
        if (!is_reference(name, one, server))
            continue;
        tally const before = work_before(one, onset);
        for (sibling::step const& step : one.steps)
            add(result.sum, part_after(step, before, onset));
    }
    return result;
}

void apply(shared_level const& level, baseline& usual, time_point now)
{
    if (now >= level.until)
        return;
    usual.failure_rate = std::max(usual.failure_rate, level.failure_rate);
    usual.mean_log_latency =
        std::max(usual.mean_log_latency, level.mean_log_latency);
}

double fresh_log_latency(fresh_view const& fresh, double usual)
{
    double const answered = fresh.sum.samples - fresh.sum.failures;
    return answered < least_mean_samples ? usual : fresh.sum.log_sum / answered;
}

double fresh_failure_rate(fresh_view const& fresh, double usual)
{
    return (fresh.sum.failures + fresh_prior * usual) /
           (fresh.sum.samples + fresh_prior);
}

} // namespace gooseberrycove::health
