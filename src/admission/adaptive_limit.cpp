#include "adaptive_limit.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::admission
{

namespace
{

constexpr std::uint32_t samples_per_decision = 64;

constexpr double min_low_samples = 64;
constexpr double low_window_samples = 256;

/// The limit falls when the gradient is above the tolerance by this many
/// standard errors. With a fixed threshold of 0.18, the noise of 64 samples
/// took a slot for 7% of the time from servers that declare their slots
/// correctly. The limit rises again when the gradient is within one standard
/// error of the tolerance: otherwise a baseline that is too low by chance keeps
/// such a server at 3 of 4 slots permanently.
constexpr double decrease_standard_errors = 2.5;
constexpr double gradient_tolerance = 0.1;
constexpr double decrease_factor = 0.8;

/// Slots that the limit regains with each success after refusals.
constexpr double shed_recovery_slots = 1;

/// Largest gradient accepted while the limit is above the declared slots. With
/// a larger one the limit returns to the declared slots, whatever the standard
/// error. For comparison, a server of 4 slots with 5 requests takes 1.25 times
/// as long (log 0.22).
constexpr double overcommit_tolerance = 0.08;

/// Pause before the limit may rise above the declared slots again. It doubles
/// each time that the gradient ends such an overcommit, so that servers that
/// declare their slots correctly are seldom loaded beyond them.
constexpr duration initial_overcommit_pause = std::chrono::seconds(30);
constexpr duration max_overcommit_pause = std::chrono::minutes(10);

struct gradient
{
    double mean = 0;
    double standard_error = 0;
};

void clear_samples(adaptive_limit& limit)
{
    limit.high_sum = 0;
    limit.high_squares = 0;
    limit.baseline_weight_sum = 0;
    limit.high_samples = 0;
}

/// Returns the gradient of the samples at the limit and clears them. The
/// standard error includes that of the baselines, which have few samples in a
/// flood.
gradient finish_gradient(adaptive_limit& limit)
{
    double const count = limit.high_samples;
    double const mean = limit.high_sum / count;
    double const variance =
        std::max(0.0, limit.high_squares / count - mean * mean);
    double const weight = (1 + limit.baseline_weight_sum) / count;
    clear_samples(limit);
    return {mean, std::sqrt(variance * weight)};
}

void decrease(adaptive_limit& limit)
{
    limit.slots = std::max(1.0, limit.slots * decrease_factor);
    clear_samples(limit);
}

void end_overcommit(adaptive_limit& limit, time_point now)
{
    limit.slots = limit.declared_slots;
    limit.overcommit_pause =
        std::clamp(2 * limit.overcommit_pause, initial_overcommit_pause,
                   max_overcommit_pause);
    limit.next_overcommit = now + limit.overcommit_pause;
}

void increase(adaptive_limit& limit, time_point now)
{
    bool const is_within_declared = limit.slots + 1 <= limit.declared_slots;
    if (is_within_declared || now >= limit.next_overcommit)
        limit.slots = std::min(limit.slots + 1, 2.0 * limit.declared_slots);
    else
        limit.slots = std::max<double>(limit.slots, limit.declared_slots);
}

void adjust_limit(adaptive_limit& limit, bool backlogged, time_point now)
{
    gradient const slope = finish_gradient(limit);
    if (limit.slots > limit.declared_slots)
    {
        if (slope.mean > overcommit_tolerance)
            end_overcommit(limit, now);
        else if (backlogged)
            increase(limit, now);
        return;
    }
    if (slope.mean - decrease_standard_errors * slope.standard_error >
        gradient_tolerance)
        decrease(limit);
    else if (backlogged &&
             slope.mean - slope.standard_error < gradient_tolerance)
        increase(limit, now);
}

} // namespace

void set_declared(adaptive_limit& limit, std::uint32_t slots)
{
    std::uint32_t const declared = std::max<std::uint32_t>(1, slots);
    if (limit.declared_slots == declared)
        return;
    limit = adaptive_limit{};
    limit.declared_slots = declared;
    limit.slots = declared;
}

void on_latency(adaptive_limit& limit, priority_index priority,
                duration latency, std::uint32_t concurrency, bool backlogged,
                time_point now)
{
    double const log_latency =
        std::log(std::max<double>(1, static_cast<double>(latency.count())));
    double& baseline = limit.low_mean_log[priority];
    double& low_samples = limit.low_samples[priority];
    if (concurrency * 2 <= limit.declared_slots || concurrency == 1)
    {
        low_samples = std::min(low_samples + 1, low_window_samples);
        baseline += (log_latency - baseline) / low_samples;
    }
    bool const is_at_limit =
        concurrency >= static_cast<std::uint32_t>(limit.slots);
    if (!is_at_limit || low_samples < min_low_samples)
        return;
    if (limit.next_overcommit == time_point{})
        limit.next_overcommit = now + initial_overcommit_pause;
    limit.high_sum += log_latency - baseline;
    limit.high_squares += (log_latency - baseline) * (log_latency - baseline);
    limit.baseline_weight_sum += 1 / low_samples;
    if (++limit.high_samples >= samples_per_decision)
        adjust_limit(limit, backlogged, now);
}

void on_shed(adaptive_limit& limit, std::uint32_t concurrency)
{
    limit.slots_before_sheds = std::max(limit.slots_before_sheds, limit.slots);
    double const other_requests = std::max<double>(1, concurrency - 1.0);
    limit.slots = std::min(limit.slots, other_requests);
    clear_samples(limit);
}

void on_success(adaptive_limit& limit)
{
    if (limit.slots >= limit.slots_before_sheds)
    {
        limit.slots_before_sheds = 0;
        return;
    }
    limit.slots =
        std::min(limit.slots_before_sheds, limit.slots + shed_recovery_slots);
}

std::uint32_t usable_slots(adaptive_limit const& limit, time_point announced,
                           duration warmup, time_point now)
{
    double slots = limit.slots;
    if (now < announced + warmup)
    {
        double const ramp_fraction =
            static_cast<double>((now - announced).count()) /
            static_cast<double>(warmup.count());
        slots = std::min(slots, 1 + (limit.declared_slots - 1) * ramp_fraction);
    }
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(slots));
}

} // namespace gooseberrycove::admission
