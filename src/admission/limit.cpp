#include "limit.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::admission
{

namespace
{

/// With a deviation of 0.5 of log latency, the mean of 64 samples is known to
/// about 0.06: enough to tell the thresholds below apart.
constexpr std::uint32_t samples_per_decision = 64;

constexpr double low_samples_needed = 16;
constexpr double low_window = 256;

/// A server of 4 slots with 5 requests takes 1.25 times as long (log 0.22).
constexpr double decrease_above = 0.18;
constexpr double increase_below = 0.08;
constexpr double decrease_factor = 0.8;

/// Pause between attempts above the declared slots; doubles after a failure,
/// so that servers that report correctly are seldom pushed beyond their slots.
constexpr duration first_pause = std::chrono::seconds(30);
constexpr duration longest_pause = std::chrono::minutes(10);

void decrease(adaptive_limit& limit)
{
    limit.limit = std::max(1.0, limit.limit * decrease_factor);
    limit.high_sum = 0;
    limit.high_samples = 0;
}

void fail_attempt(adaptive_limit& limit, time_point now)
{
    limit.limit = limit.declared;
    limit.attempt_pause =
        std::clamp(2 * limit.attempt_pause, first_pause, longest_pause);
    limit.next_attempt = now + limit.attempt_pause;
}

void decide(adaptive_limit& limit, bool backlogged, time_point now)
{
    double const gradient = limit.high_sum / limit.high_samples;
    limit.high_sum = 0;
    limit.high_samples = 0;
    bool const above = limit.limit > limit.declared;
    if (gradient > decrease_above)
    {
        if (above)
            fail_attempt(limit, now);
        else
            decrease(limit);
        return;
    }
    if (gradient > increase_below || !backlogged)
        return;
    if (limit.limit + 1 > limit.declared && now < limit.next_attempt)
    {
        limit.limit = std::max(limit.limit, double(limit.declared));
        return;
    }
    limit.limit = std::min(limit.limit + 1, 2.0 * limit.declared);
}

} // namespace

void set_declared(adaptive_limit& limit, std::uint32_t slots)
{
    std::uint32_t const declared = std::max<std::uint32_t>(1, slots);
    if (limit.declared == declared && limit.limit > 1)
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
    limit.high_sum += value - low;
    if (++limit.high_samples >= samples_per_decision)
        decide(limit, backlogged, now);
}

void on_shed(adaptive_limit& limit)
{
    decrease(limit);
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
