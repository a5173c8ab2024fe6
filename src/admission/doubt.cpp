#include "doubt.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::admission
{

namespace
{

/// A sound server answers 1.2% of its requests with a failure of its own, and
/// one that fails answers 90% so, in the users' sites.
constexpr double sound_failures = 0.012;
constexpr double failing_failures = 0.9;

/// Bounds of the probability. A server that was sound for long would otherwise
/// need several failures to come into doubt.
constexpr double least = 0.01;
constexpr double most = 0.99;

/// Change of the log-odds in nats.
double weight_of(observation what)
{
    switch (what)
    {
    case observation::success:
        return std::log((1 - failing_failures) / (1 - sound_failures));
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
    return 0.7;
}

} // namespace

void pass_time(doubt& of, time_point now)
{
    of.probability = doubt_at(of, now);
    of.at = std::max(of.at, now);
}

void take_observation(doubt& of, observation what, time_point now)
{
    pass_time(of, now);
    double const odds =
        of.probability / (1 - of.probability) * std::exp(weight_of(what));
    of.probability = std::clamp(odds / (1 + odds), least, most);
}

double doubt_at(doubt const& of, time_point now)
{
    return faded_doubt(of.probability, now - of.at);
}

} // namespace gooseberrycove::admission
