#include "limit.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::admission
{

namespace
{

constexpr std::uint32_t samples_per_decision = 64;

constexpr double low_samples_needed = 64;
constexpr double low_window = 256;

/// The limit falls when the gradient is above the tolerance by this many
/// standard errors. With a fixed threshold of 0.18 the noise of 64 samples
/// took a slot from servers that report correctly for 7% of the time.
/// It rises again within one standard error: a baseline that is too low by
/// chance otherwise kept a correct server at 3 of 4 slots for good.
constexpr double standard_errors = 2.5;
constexpr double tolerance = 0.1;
constexpr double decrease_factor = 0.8;

/// Slots that an answer gives back after refusals.
constexpr double shed_recovery = 1;

/// A server of 4 slots with 5 requests takes 1.25 times as long (log 0.22).
/// Above the declared slots a doubt is enough to go back.
constexpr double attempt_tolerance = 0.08;

/// Pause between attempts above the declared slots; doubles after a failure,
/// so that servers that report correctly are seldom pushed beyond their slots.
constexpr duration first_pause = std::chrono::seconds(30);
constexpr duration longest_pause = std::chrono::minutes(10);

struct gradient
{
    double mean = 0;
    double standard_error = 0;
};

void clear_samples(adaptive_limit& limit)
{
    limit.high_sum = 0;
    limit.high_squares = 0;
    limit.high_low_weight = 0;
    limit.high_samples = 0;
}

/// Ends the collection of samples at the limit. The error counts both the
/// samples and the baselines, which rest on few samples in a flood.
gradient take_gradient(adaptive_limit& limit)
{
    double const count = limit.high_samples;
    double const mean = limit.high_sum / count;
    double const variance =
        std::max(0.0, limit.high_squares / count - mean * mean);
    double const weight = (1 + limit.high_low_weight) / count;
    clear_samples(limit);
    return {mean, std::sqrt(variance * weight)};
}

void decrease(adaptive_limit& limit)
{
    limit.limit = std::max(1.0, limit.limit * decrease_factor);
    clear_samples(limit);
}

void fail_attempt(adaptive_limit& limit, time_point now)
{
    limit.limit = limit.declared;
    limit.attempt_pause =
        std::clamp(2 * limit.attempt_pause, first_pause, longest_pause);
    limit.next_attempt = now + limit.attempt_pause;
}

void increase(adaptive_limit& limit, time_point now)
{
    bool const within = limit.limit + 1 <= limit.declared;
    if (within || now >= limit.next_attempt)
        limit.limit = std::min(limit.limit + 1, 2.0 * limit.declared);
    else
        limit.limit = std::max<double>(limit.limit, limit.declared);
}

void decide(adaptive_limit& limit, bool backlogged, time_point now)
{
    gradient const slope = take_gradient(limit);
    if (limit.limit > limit.declared)
    {
        if (slope.mean > attempt_tolerance)
            fail_attempt(limit, now);
        else if (backlogged)
            increase(limit, now);
        return;
    }
    if (slope.mean - standard_errors * slope.standard_error > tolerance)
        decrease(limit);
    else if (backlogged && slope.mean - slope.standard_error < tolerance)
        increase(limit, now);
}

} // namespace

void set_declared(adaptive_limit& limit, std::uint32_t slots)
{
    std::uint32_t const declared = std::max<std::uint32_t>(1, slots);
    if (limit.declared == declared)
        return;
    limit = adaptive_limit{};
    limit.declared = declared;
    limit.limit = declared;
}

void on_latency(adaptive_limit& limit, priority_index priority,
                duration latency, std::uint32_t concurrency, bool backlogged,
                time_point now)
{
    double const value =
        std::log(std::max<double>(1, static_cast<double>(latency.count())));
    double& low = limit.low_log[priority];
    double& low_samples = limit.low_samples[priority];
    if (concurrency * 2 <= limit.declared || concurrency == 1)
    {
        low_samples = std::min(low_samples + 1, low_window);
        low += (value - low) / low_samples;
    }
    bool const at_limit =
        concurrency >= static_cast<std::uint32_t>(limit.limit);
    if (!at_limit || low_samples < low_samples_needed)
        return;
    if (limit.next_attempt == time_point{})
        limit.next_attempt = now + first_pause;
    limit.high_sum += value - low;
    limit.high_squares += (value - low) * (value - low);
    limit.high_low_weight += 1 / low_samples;
    if (++limit.high_samples >= samples_per_decision)
        decide(limit, backlogged, now);
}

void on_shed(adaptive_limit& limit, std::uint32_t concurrency)
{
    limit.before_sheds = std::max(limit.before_sheds, limit.limit);
    double const others = std::max<double>(1, concurrency - 1.0);
    limit.limit = std::min(limit.limit, others);
    clear_samples(limit);
}

void on_answer(adaptive_limit& limit)
{
    if (limit.limit >= limit.before_sheds)
    {
        limit.before_sheds = 0;
        return;
    }
    limit.limit = std::min(limit.before_sheds, limit.limit + shed_recovery);
}

std::uint32_t usable_slots(adaptive_limit const& limit, time_point announced,
                           duration warmup, time_point now)
{
    double slots = limit.limit;
    if (now < announced + warmup)
    {
        double const part = static_cast<double>((now - announced).count()) /
                            static_cast<double>(warmup.count());
        slots = std::min(slots, 1 + (limit.declared - 1) * part);
    }
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(slots));
}

} // namespace gooseberrycove::admission
