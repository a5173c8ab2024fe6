#ifndef GOOSEBERRYCOVE_ADMISSION_FAILING_CALLS_HPP
#define GOOSEBERRYCOVE_ADMISSION_FAILING_CALLS_HPP

#include <gooseberrycove/types.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace gooseberrycove::admission
{

/// End of a run of a service and priority.
struct run_outcome_sample
{
    time_point at;
    bool has_failed = false;
};

/// Recent outcomes of the runs of a service and priority at this home. Runs
/// that fail after work have made a call that failed; while at least half do,
/// work that must not run twice only gets trial runs.
struct call_outcomes
{
    std::deque<run_outcome_sample> samples;
    bool is_failing = false;
    /// When the newest failed run began and ended.
    time_point last_failed_start;
    time_point last_failure;
    time_point last_trial;
    /// Requests refused since the last trial run.
    std::uint32_t refused = 0;
    /// Successes since the last failure, of runs that began after it.
    std::uint32_t successes = 0;
};

/// Records the end of a run. Returns whether `is_failing` has changed.
bool record_run(call_outcomes& outcomes, bool has_failed, time_point began,
                time_point now);

/// Decides whether a run that must not run twice may start; a trial run is
/// counted as started. Returns the time until the next trial run when not.
std::optional<duration> check_calls(call_outcomes& outcomes, time_point now);

/// Time until the next trial run is due.
duration time_to_trial(call_outcomes const& outcomes, time_point now);

/// Number of failed runs among the recent ones.
std::size_t count_failed(call_outcomes const& outcomes);

} // namespace gooseberrycove::admission

#endif
