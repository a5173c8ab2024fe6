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

/// Time constant in which refusals and runs lose their weight. Servers
/// refuse for 8 to 9 s at the users' sites and get 2 to 4 requests per second,
/// so about ten samples count.
constexpr double count_decay_s = 3;

/// Most requests that count. After a server has served many requests, it takes
/// nine refusals in a row until it is suspected.
constexpr double max_counted = 6;

/// Weight of the runs that a server is assumed to have served without evidence.
/// It takes three refusals in a row to suspect such a server.
constexpr double assumed_runs = 1;

/// A server that serves at least a third of its requests stays in use. When all
/// servers of a service refuse a part, requests would otherwise be refused
/// while slots are free.
constexpr double max_used_refusal_share = 2.0 / 3;
constexpr double max_used_probability = 0.9 * failure_probability_limit;

/// Share of their weight that counts keep after \p elapsed.
double remaining_weight(duration elapsed)
{
    return std::exp(
        -std::max(0.0, std::chrono::duration<double>(elapsed).count()) /
        count_decay_s);
}

/// Expected share of refusals by a server with free slots.
double refusal_probability(failure_estimate const& estimate, time_point now)
{
    double const share = refusal_share(estimate, now);
    return share > max_used_refusal_share
               ? share
               : std::min(share, max_used_probability);
}

bool counts_as_run(observation observed)
{
    return observed == observation::success ||
           observed == observation::completion ||
           observed == observation::late_failure;
}

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
    case observation::refused_when_free:
    case observation::refused_when_full:
        break;
    }
    // A failing server fails at once. A run that fails after work has mostly
    // made a call that failed. When such failures had a weight, a failure of
    // the called service made sound servers suspected, until fewer than the
    // floor were in use. Refusals with free slots are counted separately, and a
    // full server shows no fault.
    return 0;
}

} // namespace

void decay(failure_estimate& estimate, time_point now)
{
    duration const elapsed = std::max(duration(0), now - estimate.updated_at);
    double const weight = remaining_weight(elapsed);
    estimate.fault_probability =
        decayed_failure_probability(estimate.fault_probability, elapsed);
    estimate.refusals *= weight;
    estimate.runs *= weight;
    estimate.updated_at = std::max(estimate.updated_at, now);
    estimate.probability = failure_probability_at(estimate, now);
}

void apply_observation(failure_estimate& estimate, observation observed,
                       time_point began, time_point now)
{
    decay(estimate, now);
    estimate.runs += counts_as_run(observed) ? 1 : 0;
    estimate.refusals += observed == observation::refused_when_free ? 1 : 0;
    double const counted = estimate.runs + estimate.refusals;
    if (counted > max_counted)
    {
        estimate.runs *= max_counted / counted;
        estimate.refusals *= max_counted / counted;
    }
    estimate.probability = failure_probability_at(estimate, now);
    // Spaces the trial requests of a server that is suspected for refusals.
    if (observed == observation::refused_when_free &&
        estimate.probability >= failure_probability_limit)
        estimate.last_failure = std::max(estimate.last_failure, now);
    double const weight = log_odds_change(observed);
    if (weight < 0 && began <= estimate.last_failure)
        return;
    if (weight > 0)
        estimate.last_failure = std::max(estimate.last_failure, now);
    double const odds = estimate.fault_probability /
                        (1 - estimate.fault_probability) * std::exp(weight);
    estimate.fault_probability =
        std::clamp(odds / (1 + odds), min_probability, max_probability);
    estimate.probability = failure_probability_at(estimate, now);
}

double refusal_share(failure_estimate const& estimate, time_point now)
{
    double const weight = remaining_weight(now - estimate.updated_at);
    double const refusals = weight * estimate.refusals;
    return refusals / (refusals + weight * estimate.runs + assumed_runs);
}

double failure_probability_at(failure_estimate const& estimate, time_point now)
{
    return std::max(decayed_failure_probability(estimate.fault_probability,
                                                now - estimate.updated_at),
                    refusal_probability(estimate, now));
}

} // namespace gooseberrycove::admission
