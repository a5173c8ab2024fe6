#include "doubt.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::admission
{

namespace
{

/// A server that fails answers 90% of its requests with a failure, in the
/// users' sites. The failures of a sound one, 1.2%, come after work; few of
/// them are fast or lose the answer.
constexpr double sound_failures = 0.004;
constexpr double failing_failures = 0.9;

/// Bounds of the probability. A server that was sound for long would otherwise
/// need several failures to come into doubt.
constexpr double least = 0.01;
constexpr double most = 0.99;

double const success_weight =
    std::log((1 - failing_failures) / (1 - sound_failures));

/// Change of the log-odds in nats.
double weight_of(observation what)
{
    switch (what)
    {
    case observation::success:
        return success_weight;
    case observation::progress:
    case observation::completion:
        // A mute server shows progress too, so half is left for the end.
        return success_weight / 2;
    case observation::fast_failure:
    case observation::lost:
        return std::log(failing_failures / sound_failures);
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

void pass_time(doubt& of, time_point now)
{
    of.probability = doubt_at(of, now);
    of.at = std::max(of.at, now);
}

void take_observation(doubt& of, observation what, time_point began,
                      time_point now)
{
    pass_time(of, now);
    double const weight = weight_of(what);
    if (weight < 0 && began <= of.last_failure)
        return;
    if (weight > 0)
        of.last_failure = std::max(of.last_failure, now);
    double const odds =
        of.probability / (1 - of.probability) * std::exp(weight);
    of.probability = std::clamp(odds / (1 + odds), least, most);
}

double doubt_at(doubt const& of, time_point now)
{
    return decayed_failure_probability(of.probability, now - of.at);
}

} // namespace gooseberrycove::admission
