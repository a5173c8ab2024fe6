#include "failure_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::admission
{

namespace
{

/// A server that fails answers 90% of its requests with a failure, in the
/// users' sites. The failures of a sound one, 1.2%, come after work; few of
/// them are fast or lose the answer.
constexpr double sound_failure_rate = 0.004;
constexpr double failing_failure_rate = 0.9;

/// Bounds of the probability. A server that was sound for long would otherwise
/// need several failures to come into doubt.
constexpr double min_probability = 0.01;
constexpr double max_probability = 0.99;

double const success_weight =
    std::log((1 - failing_failure_rate) / (1 - sound_failure_rate));

/// Change of the log-odds in nats.
double log_odds_change(observation observed)
{
    switch (observed)
    {
    case observation::success:
        return success_weight;
    case observation::progress:
    case observation::completion:
        // A mute server shows progress too, so half is left for the end.
        return success_weight / 2;
    case observation::fast_failure:
    case observation::lost:
        return std::log(failing_failure_rate / sound_failure_rate);
    case observation::overdue:
    case observation::refused:
        // Seen at sound servers as well, when they are slow or starting.
        return 3;
    case observation::late_failure:
        break;
    }
    // Servers that fail do so at once. A run that fails after work mostly made
    // a call that failed, and with a weight for it a fault of the called
    // service put sound servers in doubt, below the floor.
    return 0;
}

} // namespace

void decay(failure_estimate& estimate, time_point now)
{
    estimate.probability = failure_probability_at(estimate, now);
    estimate.updated_at = std::max(estimate.updated_at, now);
}

void apply_observation(failure_estimate& estimate, observation observed,
                       time_point began, time_point now)
{
    decay(estimate, now);
    double const weight = log_odds_change(observed);
    if (weight < 0 && began <= estimate.last_failure)
        return;
    if (weight > 0)
        estimate.last_failure = std::max(estimate.last_failure, now);
    double const odds =
        estimate.probability / (1 - estimate.probability) * std::exp(weight);
    estimate.probability =
        std::clamp(odds / (1 + odds), min_probability, max_probability);
}

double failure_probability_at(failure_estimate const& estimate, time_point now)
{
    return decayed_failure_probability(estimate.probability,
                                       now - estimate.updated_at);
}

} // namespace gooseberrycove::admission
