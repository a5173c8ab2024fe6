#include "failure_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::admission
{

namespace
{

/// Share of a server's requests that end in a fast failure or a lost response.
/// At the users' sites a failing server fails 90% of its requests. A sound one
/// fails 1.2%, after work; few of these failures are fast or lose the response.
constexpr double sound_failure_rate = 0.004;
constexpr double failing_failure_rate = 0.9;

/// Bounds of the probability. Without the lower bound, a server that was sound
/// for a long time would need several failures to be suspected.
constexpr double min_probability = 0.01;
constexpr double max_probability = 0.99;

double const success_weight =
    std::log((1 - failing_failure_rate) / (1 - sound_failure_rate));

/// Change of the log-odds by an observation, in nats.
double log_odds_change(observation observed)
{
    switch (observed)
    {
    case observation::success:
        return success_weight;
    case observation::progress:
    case observation::completion:
        // An unresponsive server shows progress too, so half of the weight is
        // left for the completion.
        return success_weight / 2;
    case observation::fast_failure:
    case observation::lost:
        return std::log(failing_failure_rate / sound_failure_rate);
    case observation::overdue:
    case observation::refused:
        // Sound servers show these as well, when they are slow or starting.
        return 3;
    case observation::late_failure:
        break;
    }
    // A failing server fails at once. A run that fails after work has mostly
    // made a call that failed. When such failures had a weight, a failure of
    // the called service made sound servers suspected, until fewer than the
    // floor were in use.
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
