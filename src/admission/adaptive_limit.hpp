#ifndef GOOSEBERRYCOVE_ADMISSION_ADAPTIVE_LIMIT_HPP
#define GOOSEBERRYCOVE_ADMISSION_ADAPTIVE_LIMIT_HPP

#include <gooseberrycove/types.hpp>

#include <array>
#include <cstdint>

namespace gooseberrycove::admission
{

/// Adaptive limit of a server's requests in flight: additive increase and
/// multiplicative decrease on the latency gradient, because the declared slots
/// may be wrong. The gradient is the mean difference between the log latency at
/// the limit and that of the same priority at half of the declared slots or
/// less.
struct adaptive_limit
{
    /// 0 until set_declared().
    std::uint32_t declared_slots = 0;
    double slots = 1;
    /// Limit before the first of the refusals that lowered it; 0 when it has
    /// recovered.
    double slots_before_sheds = 0;
    /// Moving mean of log latency at low concurrency, for each priority.
    std::array<double, max_priorities> low_mean_log{};
    std::array<double, max_priorities> low_samples{};
    /// Sums of the differences of log latency at the limit, and of their
    /// squares, since the last adjustment.
    double high_sum = 0;
    double high_squares = 0;
    /// Sum of 1 / low_samples over those samples, for the standard error of the
    /// baselines.
    double baseline_weight_sum = 0;
    std::uint32_t high_samples = 0;
    /// The limit does not rise above the declared slots before this time; unset
    /// until the limit is first reached.
    time_point next_overcommit;
    duration overcommit_pause{0};
};

void set_declared(adaptive_limit& limit, std::uint32_t slots);

/// Records the latency of a request that was started as the \p concurrency -th
/// request in flight.
/// \param backlogged  requests are queued for the service
void on_latency(adaptive_limit& limit, priority_index priority,
                duration latency, std::uint32_t concurrency, bool backlogged,
                time_point now);

/// Lowers the limit after the server refused, as overloaded, a request that was
/// started as the \p concurrency -th in flight. The limit falls to one slot
/// below that number and no further: a server that fails for some seconds
/// refuses a part of its work at any load, and the other requests that it runs
/// show that it has slots for them.
void on_shed(adaptive_limit& limit, std::uint32_t concurrency);

/// Raises the limit by one slot after a success, up to its value before
/// refusals lowered it: the gradient would need 64 samples for each slot.
void on_success(adaptive_limit& limit);

/// Slots that may be used at \p now: the limit, but no more than a linear ramp
/// from 1 to the declared slots during \p warmup after \p announced.
std::uint32_t usable_slots(adaptive_limit const& limit, time_point announced,
                           duration warmup, time_point now);

} // namespace gooseberrycove::admission

#endif
