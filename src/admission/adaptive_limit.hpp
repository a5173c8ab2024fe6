#ifndef GOOSEBERRYCOVE_ADMISSION_ADAPTIVE_LIMIT_HPP
#define GOOSEBERRYCOVE_ADMISSION_ADAPTIVE_LIMIT_HPP

#include <gooseberrycove/types.hpp>

#include <array>
#include <cstdint>

namespace gooseberrycove::admission
{

/// Requests in flight that a server is given: additive increase and
/// multiplicative decrease on the latency gradient, because reported slots
/// may be wrong. The gradient is the mean difference of log latency at the
/// limit to that of the same priority at half of the declared slots or less.
struct adaptive_limit
{
    /// 0 until set_declared().
    std::uint32_t declared_slots = 0;
    double slots = 1;
    /// Limit before the first of the refusals that have lowered it.
    double slots_before_sheds = 0;
    /// Moving mean of log latency at low concurrency, for each priority.
    std::array<double, max_priorities> low_mean_log{};
    std::array<double, max_priorities> low_samples{};
    /// Sums of the differences at the limit, and of their squares, since the
    /// last decision.
    double high_sum = 0;
    double high_squares = 0;
    /// Sum of 1 / low_samples of those samples, for the baselines' error.
    double baseline_weight_sum = 0;
    std::uint32_t high_samples = 0;
    /// No attempt above the declared slots before this time; unset until the
    /// limit is first reached.
    time_point next_overcommit;
    duration overcommit_pause{0};
};

void set_declared(adaptive_limit& limit, std::uint32_t slots);

/// Takes the latency of work that was started as the \p concurrency -th
/// request in flight.
/// \param backlogged  work waits for this server
void on_latency(adaptive_limit& limit, priority_index priority,
                duration latency, std::uint32_t concurrency, bool backlogged,
                time_point now);

/// The server refused work as overloaded, started as the \p concurrency -th
/// request in flight. The limit falls below that, by one slot at most: a server
/// that fails for some seconds refuses a part of its work at any load, and the
/// others that it runs show that it has slots.
void on_shed(adaptive_limit& limit, std::uint32_t concurrency);

/// The server answered work. Each answer gives back a slot that a refusal took:
/// the gradient would need 64 samples for it.
void on_success(adaptive_limit& limit);

/// Slots that may be used: the limit, and a linear ramp from 1 to the declared
/// slots during \p warmup after \p announced.
std::uint32_t usable_slots(adaptive_limit const& limit, time_point announced,
                           duration warmup, time_point now);

} // namespace gooseberrycove::admission

#endif
