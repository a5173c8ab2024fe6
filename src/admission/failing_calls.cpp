#include "failing_calls.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

/// Window of the samples. A home gets 2 to 4 runs per second of a service at
/// the users' sites.
constexpr duration sample_window = std::chrono::seconds(4);
/// Older samples would delay the detection: with all of the window, it took ten
/// lost runs at a home with 5 per second.
constexpr std::size_t max_samples = 12;

/// With fewer samples or failures, failures of single runs (1.2% of the runs)
/// would stop the work now and then.
constexpr std::size_t min_samples = 6;
constexpr std::size_t min_failures = 4;

/// One run in this many, and at least one in each interval, is a trial. With an
/// interval of 0.5 s, 22 of 40 runs were lost in 8 s at a home with 5 per
/// second.
constexpr std::uint32_t trial_share = 5;
constexpr duration trial_interval = std::chrono::seconds(1);

/// Successes in a row after which the calls are taken to succeed again.
constexpr std::uint32_t min_successes = 2;

/// Time without a failure after which earlier ones are no evidence any more.
constexpr duration max_evidence_age = std::chrono::seconds(10);

void remove_old_samples(call_outcomes& outcomes, time_point now)
{
    auto& samples = outcomes.samples;
    while (!samples.empty() && (now - samples.front().at > sample_window ||
                                samples.size() > max_samples))
        samples.pop_front();
}

bool has_failing_share(call_outcomes const& outcomes)
{
    std::size_t const failed = count_failed(outcomes);
    return outcomes.samples.size() >= min_samples && failed >= min_failures &&
           2 * failed >= outcomes.samples.size();
}

} // namespace

std::size_t count_failed(call_outcomes const& outcomes)
{
    return static_cast<std::size_t>(std::ranges::count(
        outcomes.samples, true, &run_outcome_sample::has_failed));
}

bool record_run(call_outcomes& outcomes, bool has_failed, time_point began,
                time_point now)
{
    bool const was_failing = outcomes.is_failing;
    outcomes.is_failing =
        was_failing && now - outcomes.last_failure <= max_evidence_age;
    outcomes.samples.push_back({now, has_failed});
    remove_old_samples(outcomes, now);
    if (has_failed)
    {
        outcomes.successes = 0;
        outcomes.last_failure = now;
        outcomes.last_failed_start =
            std::max(outcomes.last_failed_start, began);
        outcomes.is_failing =
            outcomes.is_failing || has_failing_share(outcomes);
    }
    else if (began > outcomes.last_failed_start)
    {
        ++outcomes.successes;
        // The next trial may confirm the recovery at once.
        outcomes.last_trial = now - trial_interval;
    }
    if (outcomes.is_failing && outcomes.successes >= min_successes)
    {
        outcomes.is_failing = false;
        outcomes.samples.clear();
    }
    if (outcomes.is_failing && !was_failing)
    {
        outcomes.refused = 0;
        outcomes.last_trial = now;
    }
    return outcomes.is_failing != was_failing;
}

duration time_to_trial(call_outcomes const& outcomes, time_point now)
{
    return std::max(duration(0), outcomes.last_trial + trial_interval - now);
}

std::optional<duration> check_calls(call_outcomes& outcomes, time_point now)
{
    if (!outcomes.is_failing || now - outcomes.last_failure > max_evidence_age)
        return std::nullopt;
    duration const wait = time_to_trial(outcomes, now);
    if (wait > duration(0) && outcomes.refused + 1 < trial_share)
    {
        ++outcomes.refused;
        return wait;
    }
    outcomes.refused = 0;
    outcomes.last_trial = now;
    return std::nullopt;
}

} // namespace gooseberrycove::admission
