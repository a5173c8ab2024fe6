#include "candidates.hpp"

#include "data_centre.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::routing
{

namespace
{

/// One in this many repeatable requests is a trial of a server in probation.
/// About 20 samples decide whether a partial failure persists, and each failed
/// trial costs a retry.
constexpr std::uint64_t probation_trial_interval = 8;
/// One in this many repeatable requests is a trial of a suspected server, whose
/// home limits the rate of trials. Two successes end the suspicion; until then
/// the server's slots are unused.
constexpr std::uint64_t suspected_trial_interval = 3;

constexpr unsigned skip_threshold = 2;
constexpr duration initial_skip = std::chrono::seconds(1);
constexpr duration max_skip = std::chrono::seconds(30);
/// Bound of home_evidence::homes; a fleet has about 6,000 homes.
constexpr std::size_t max_unresponsive_homes = 8192;

bool is_usable(members::candidate const& candidate)
{
    return candidate.state == members::server_state::serving &&
           candidate.is_home_alive;
}

/// Orders servers from the worst to the least bad. The name breaks ties, so
/// that daemons with equal views agree.
bool is_worse(members::candidate const& a, members::candidate const& b)
{
    if (a.health != b.health)
        return a.health == health_state::ejected;
    if (a.score != b.score)
        return a.score > b.score;
    return a.server < b.server;
}

standing standing_before_floor(members::candidate const& candidate,
                               home_evidence const& evidence, time_point now)
{
    if (candidate.state != members::server_state::serving)
        return standing::draining;
    if (!candidate.is_home_alive)
        return standing::unreachable;
    if (is_skipped(evidence, candidate.home.id, now))
        return standing::skipped;
    if (candidate.health == health_state::probation)
        return standing::probation;
    return candidate.health == health_state::ejected ? standing::ejected
                                                     : standing::healthy;
}

bool is_eligible(choice_input const& input, std::size_t index)
{
    members::candidate const& candidate = input.candidates[index];
    if (!is_usable(candidate) || input.standings[index] == standing::ejected)
        return false;
    // The home refuses non-repeatable work for a server in probation.
    if (candidate.health == health_state::probation && !input.repeatable)
        return false;
    if (input.standings[index] == standing::probation &&
        load_of(candidate, input.outstanding) > 0)
        return false;
    return std::find(input.excluded_homes.begin(), input.excluded_homes.end(),
                     candidate.home) == input.excluded_homes.end();
}

std::size_t random_index(std::size_t count, std::mt19937_64& random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/// Whether a server may receive a trial request now. A server in probation runs
/// one request at a time. A suspected server only needs a free slot, because it
/// may still be running long work that began before it failed.
bool can_run_trial(choice_input const& input, std::size_t index)
{
    double const load = load_of(input.candidates[index], input.outstanding);
    return input.standings[index] == standing::probation ? load == 0 : load < 1;
}

/// Costs are in units of a server's load. At 1 all slots are busy, and further
/// work waits for about one service time.
constexpr double kept_by_floor_cost = 1.5;
constexpr double skipped_cost = 3;
constexpr double probation_cost = 4;
/// Costs of a failure probability of 1. The second one is for work that must
/// not run twice: it has only one attempt, so it should queue for a server with
/// a lower failure probability instead.
constexpr double failure_cost = 3;
constexpr double single_attempt_failure_cost = 6;
/// Cost of a second of wait for a server's own limit.
constexpr double limit_wait_cost = 4;
/// Upper bound of the random noise added to each cost. Loads are some
/// milliseconds old, and without noise many daemons would choose the same
/// server on a small difference.
constexpr double cost_noise = 0.25;
/// Maximum number of candidates compared from the own data centre, and the same
/// from the others.
constexpr std::size_t max_compared = 4;
/// The same from the own data centre when the bytes that leave it have a price:
/// a free slot is found there more often.
constexpr std::size_t max_compared_local = 8;

double standing_cost(standing value)
{
    switch (value)
    {
    case standing::healthy:
    case standing::suspected:
        return 0;
    case standing::kept_by_floor:
        return kept_by_floor_cost;
    case standing::skipped:
        return skipped_cost;
    default:
        return probation_cost;
    }
}

/// Costs beside the load and the data centre.
double risk_of(choice_input const& input, std::size_t index)
{
    double cost = standing_cost(input.standings[index]);
    if (index < input.failure_probabilities.size())
        cost += input.failure_probabilities[index] *
                (input.repeatable ? failure_cost : single_attempt_failure_cost);
    if (index < input.start_waits.size())
        cost += limit_wait_cost *
                std::chrono::duration<double>(input.start_waits[index]).count();
    return cost;
}

double cost_inside(choice_input const& input, std::size_t index)
{
    return load_of(input.candidates[index], input.outstanding) +
           risk_of(input, index);
}

double cost_of(choice_input const& input, std::size_t index)
{
    bool const has_constant_cost =
        !input.crossing_cost &&
        input.candidates[index].home_data_centre != input.data_centre;
    return cost_inside(input, index) +
           (has_constant_cost ? unpriced_crossing_cost : 0);
}

bool is_preferred(standing value)
{
    return value == standing::healthy || value == standing::kept_by_floor;
}

std::string_view choice_reason(standing value)
{
    return value == standing::healthy ? "least_cost" : to_string(value);
}

/// Reduces \p indices to a random sample of at most \p count.
void keep_random(std::vector<std::size_t>& indices, std::size_t count,
                 std::mt19937_64& random)
{
    std::size_t const kept = std::min(count, indices.size());
    for (std::size_t i = 0; i < kept; ++i)
        std::swap(indices[i],
                  indices[i + random_index(indices.size() - i, random)]);
    indices.resize(kept);
}

/// Index of the cheapest of \p indices, with noise; empty when there are none.
std::optional<std::size_t> find_cheapest(choice_input const& input,
                                         std::span<std::size_t const> indices,
                                         std::mt19937_64& random)
{
    std::uniform_real_distribution<double> noise(0, cost_noise);
    std::optional<std::size_t> cheapest;
    double min_cost = 0;
    for (std::size_t const index : indices)
    {
        double const cost = cost_of(input, index) + noise(random);
        if (cheapest && cost >= min_cost)
            continue;
        min_cost = cost;
        cheapest = index;
    }
    return cheapest;
}

side side_of(choice_input const& input, std::size_t index)
{
    members::candidate const& candidate = input.candidates[index];
    return {load_of(candidate, input.outstanding), candidate.slots,
            risk_of(input, index)};
}

choice make_choice(choice_input const& input, std::optional<std::size_t> index)
{
    if (!index)
        return {nullptr, "no_candidate", input.candidates.size()};
    return {&input.candidates[*index], choice_reason(input.standings[*index]),
            input.candidates.size() - 1,
            *index < input.failure_probabilities.size()
                ? input.failure_probabilities[*index]
                : 0};
}

/// Chooses the cheapest of a few random candidates; `candidate` is null when
/// there are none.
choice choose_cheapest(choice_input const& input,
                       std::vector<std::size_t> local_indices,
                       std::vector<std::size_t> other_indices,
                       std::mt19937_64& random)
{
    keep_random(local_indices,
                input.crossing_cost ? max_compared_local : max_compared,
                random);
    keep_random(other_indices, max_compared, random);
    if (input.crossing_cost && !local_indices.empty() && !other_indices.empty())
    {
        std::size_t const local = *find_cheapest(input, local_indices, random);
        std::size_t const other = *find_cheapest(input, other_indices, random);
        double const share = leaving_share(
            side_of(input, local), side_of(input, other), *input.crossing_cost);
        if (std::uniform_real_distribution<double>(0, 1)(random) >= share)
            return make_choice(input, local);
        choice left = make_choice(input, other);
        left.reason = "left_data_centre";
        return left;
    }
    local_indices.insert(local_indices.end(), other_indices.begin(),
                         other_indices.end());
    return make_choice(input, find_cheapest(input, local_indices, random));
}

/// Collects the eligible candidates that \p matches selects, separately for the
/// own data centre and the others.
template <class Predicate>
void collect_eligible(choice_input const& input, Predicate matches,
                      std::vector<std::size_t>& local_indices,
                      std::vector<std::size_t>& other_indices)
{
    local_indices.clear();
    other_indices.clear();
    for (std::size_t i = 0; i < input.candidates.size(); ++i)
    {
        if (!is_eligible(input, i) || !matches(i))
            continue;
        bool const is_local =
            input.candidates[i].home_data_centre == input.data_centre;
        (is_local ? local_indices : other_indices).push_back(i);
    }
}

/// Chooses a suspected server or one in probation for a trial request; servers
/// of one standing are equally likely. `candidate` is null when this request is
/// not a trial.
choice choose_trial(choice_input const& input, std::mt19937_64& random)
{
    choice result;
    if (!input.allows_trial || !input.repeatable)
        return result;
    for (auto const& [trial_standing, interval] :
         {std::pair(standing::suspected, suspected_trial_interval),
          std::pair(standing::probation, probation_trial_interval)})
    {
        if (random_index(interval, random) != 0)
            continue;
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < input.candidates.size(); ++i)
        {
            if (input.standings[i] == trial_standing && is_eligible(input, i) &&
                can_run_trial(input, i))
                indices.push_back(i);
        }
        if (indices.empty())
            continue;
        result.candidate =
            &input.candidates[indices[random_index(indices.size(), random)]];
        result.reason = trial_standing == standing::suspected
                            ? "doubt_test"
                            : "probation_trickle";
        result.passed_over = input.candidates.size() - 1;
        result.failure_probability = any_failure_probability;
        return result;
    }
    return result;
}

} // namespace

std::string_view to_string(standing value)
{
    switch (value)
    {
    case standing::healthy:
        return "healthy";
    case standing::suspected:
        return "doubtful";
    case standing::probation:
        return "probation";
    case standing::kept_by_floor:
        return "kept_by_floor";
    case standing::skipped:
        return "home_skipped";
    case standing::ejected:
        return "ejected";
    case standing::draining:
        return "draining";
    case standing::unreachable:
        break;
    }
    return "home_unreachable";
}

void record_unresponsive(home_evidence& evidence, std::uint64_t home,
                         unsigned penalty, time_point now)
{
    if (evidence.homes.size() >= max_unresponsive_homes)
        evidence.homes.clear();
    home_evidence::record& entry = evidence.homes[home];
    entry.penalty += penalty;
    if (entry.penalty < skip_threshold || now < entry.skip_until)
        return;
    duration const skip = std::min(
        max_skip, initial_skip * (1 << std::min(entry.skip_count, 5U)));
    ++entry.skip_count;
    entry.skip_until = now + skip;
}

void record_reply(home_evidence& evidence, std::uint64_t home)
{
    evidence.homes.erase(home);
}

bool is_skipped(home_evidence const& evidence, std::uint64_t home,
                time_point now)
{
    auto const found = evidence.homes.find(home);
    return found != evidence.homes.end() && now < found->second.skip_until;
}

assessment assess(std::span<members::candidate const> candidates,
                  std::uint32_t floor_slots, home_evidence const& evidence,
                  time_point now)
{
    assessment result;
    std::vector<std::size_t> unhealthy;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        standing const value =
            standing_before_floor(candidates[i], evidence, now);
        result.standings.push_back(value);
        if (value == standing::healthy)
            result.capacity += candidates[i].slots;
        if (value != standing::ejected && value != standing::probation)
            continue;
        result.capacity += candidates[i].slots;
        unhealthy.push_back(i);
    }
    std::sort(unhealthy.begin(), unhealthy.end(),
              [&](std::size_t a, std::size_t b)
              { return is_worse(candidates[a], candidates[b]); });
    bool is_ejection_allowed = true;
    for (std::size_t const i : unhealthy)
    {
        std::uint32_t const slots = candidates[i].slots;
        is_ejection_allowed = is_ejection_allowed && result.capacity >= slots &&
                              result.capacity - slots >= floor_slots;
        if (is_ejection_allowed)
            result.capacity -= slots;
        else
            result.standings[i] = standing::kept_by_floor;
    }
    return result;
}

std::uint32_t effective_floor(std::span<members::candidate const> candidates,
                              std::uint32_t slots, double share)
{
    std::uint32_t usable = 0;
    for (members::candidate const& candidate : candidates)
        usable += is_usable(candidate) ? candidate.slots : 0;
    return std::max(slots,
                    static_cast<std::uint32_t>(std::ceil(share * usable)));
}

std::vector<double>
apply_failure_probabilities(std::span<members::candidate const> candidates,
                            reported_probabilities const& reports,
                            time_point now, std::vector<standing>& standings)
{
    std::vector<double> result;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const report = reports.find(candidates[i].server);
        duration const age =
            report == reports.end() ? duration(0) : now - report->second.at;
        double const probability =
            report == reports.end()
                ? prior_failure_probability
                : decayed_failure_probability(report->second.probability, age);
        result.push_back(probability);
        if (probability >= failure_probability_limit &&
            (standings[i] == standing::healthy ||
             standings[i] == standing::kept_by_floor))
            standings[i] = standing::suspected;
    }
    return result;
}

void record_statement(reported_statements& reports, server_status const& status,
                      time_point now)
{
    if (!status.statement.is_known)
        return;
    reports[status.server] = {status.statement, now + status.start_wait};
}

std::vector<duration>
start_waits(std::span<members::candidate const> candidates,
            reported_statements const& reports, time_point now)
{
    std::vector<duration> waits;
    if (reports.empty())
        return waits;
    for (members::candidate const& candidate : candidates)
    {
        auto const report = reports.find(candidate.server);
        waits.push_back(
            report == reports.end()
                ? duration(0)
                : std::max(duration(0), report->second.available_at - now));
    }
    return waits;
}

std::uint32_t count_retry_limit_servers(assessment const& assessed)
{
    return std::max(1U, static_cast<std::uint32_t>(assessed.standings.size()));
}

double load_of(members::candidate const& candidate,
               outstanding_map const& outstanding)
{
    auto const own_attempts = outstanding.find(candidate.server);
    std::uint32_t const min_busy =
        own_attempts == outstanding.end() ? 0 : own_attempts->second;
    std::uint32_t const busy =
        std::max(candidate.in_flight + candidate.queued, min_busy);
    return static_cast<double>(busy) / std::max(1U, candidate.slots);
}

candidate_costs costs_of(choice_input const& input, std::size_t index)
{
    double const inside = cost_inside(input, index);
    return {inside,
            inside + input.crossing_cost.value_or(unpriced_crossing_cost)};
}

choice choose(choice_input const& input, std::mt19937_64& random)
{
    if (choice const trial = choose_trial(input, random);
        trial.candidate != nullptr)
        return trial;
    std::vector<std::size_t> local_indices;
    std::vector<std::size_t> other_indices;
    // Suspected servers are avoided even when all preferred ones were tried:
    // under load the preferred servers refuse, and a failing server looks idle.
    bool const avoids_suspected =
        std::ranges::any_of(input.standings, is_preferred);
    collect_eligible(
        input,
        [&](std::size_t i)
        {
            return input.standings[i] <= standing::skipped &&
                   !(avoids_suspected &&
                     input.standings[i] == standing::suspected);
        },
        local_indices, other_indices);
    return choose_cheapest(input, local_indices, other_indices, random);
}

} // namespace gooseberrycove::routing
