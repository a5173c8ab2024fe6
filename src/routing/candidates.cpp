#include "candidates.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::routing
{

namespace
{

/// One in this many repeatable requests tests a server in probation. About 20
/// samples decide the test of a partial failure, and each of its failures costs
/// a retry.
constexpr std::uint64_t probation_share = 8;
/// The same for a server in doubt, whose home limits the rate of tests. Two
/// successes clear it, and its slots are missing until then.
constexpr std::uint64_t doubt_share = 3;

constexpr unsigned strikes_for_skip = 2;
constexpr duration first_skip = std::chrono::seconds(1);
constexpr duration longest_skip = std::chrono::seconds(30);
/// Bound of home_evidence; there are about 6,000 homes.
constexpr std::size_t max_silent_homes = 8192;

bool in_use(members::candidate const& who)
{
    return who.state == members::server_state::serving && who.is_home_alive;
}

/// From the worst to the least bad; equal views give equal orders.
bool is_worse(members::candidate const& a, members::candidate const& b)
{
    if (a.health != b.health)
        return a.health == health_state::ejected;
    if (a.score != b.score)
        return a.score > b.score;
    return a.server < b.server;
}

standing before_floor(members::candidate const& who,
                      home_evidence const& evidence, time_point now)
{
    if (who.state != members::server_state::serving)
        return standing::draining;
    if (!who.is_home_alive)
        return standing::unreachable;
    if (is_skipped(evidence, who.home.id, now))
        return standing::skipped;
    if (who.health == health_state::probation)
        return standing::probation;
    return who.health == health_state::ejected ? standing::ejected
                                               : standing::healthy;
}

bool eligible(selection const& from, std::size_t index)
{
    members::candidate const& who = from.candidates[index];
    if (!in_use(who) || from.standings[index] == standing::ejected)
        return false;
    // The home refuses non-repeatable work for a server in probation.
    if (who.health == health_state::probation && !from.repeatable)
        return false;
    if (from.standings[index] == standing::probation &&
        load_of(who, from.outstanding) > 0)
        return false;
    return std::find(from.excluded_homes.begin(), from.excluded_homes.end(),
                     who.home) == from.excluded_homes.end();
}

std::size_t draw(std::size_t count, std::mt19937_64& random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/// Whether a server may be tested now. Probation takes one request at a time;
/// a server in doubt may still run long work from before it failed.
bool is_testable(selection const& from, std::size_t index)
{
    double const load = load_of(from.candidates[index], from.outstanding);
    return from.standings[index] == standing::probation ? load == 0 : load < 1;
}

/// Costs are in units of a server's load: 1 is all of its slots, so that work
/// above it waits for about one service time.
constexpr double other_data_centre_cost = 0.75;
constexpr double kept_by_floor_cost = 1.5;
constexpr double skipped_cost = 3;
constexpr double probation_cost = 4;
/// Of a server that certainly fails. Work that must not run twice has only
/// this one attempt, so it rather waits for a server in less doubt.
constexpr double doubt_cost = 3;
constexpr double final_doubt_cost = 6;
/// Costs that differ by less are taken as equal, because loads are old by some
/// milliseconds and many daemons would choose the same server.
constexpr double cost_noise = 0.25;
/// Candidates of the own and of the other data centres that are compared.
constexpr std::size_t most_compared = 4;

double standing_cost(standing value)
{
    switch (value)
    {
    case standing::healthy:
    case standing::doubtful:
        return 0;
    case standing::kept_by_floor:
        return kept_by_floor_cost;
    case standing::skipped:
        return skipped_cost;
    default:
        return probation_cost;
    }
}

double cost_of(selection const& from, std::size_t index)
{
    members::candidate const& who = from.candidates[index];
    double cost =
        load_of(who, from.outstanding) + standing_cost(from.standings[index]);
    if (who.home_data_centre != from.data_centre)
        cost += other_data_centre_cost;
    if (index < from.doubts.size())
        cost += from.doubts[index] *
                (from.repeatable ? doubt_cost : final_doubt_cost);
    return cost;
}

bool is_sound(standing value)
{
    return value == standing::healthy || value == standing::kept_by_floor;
}

std::string_view reason_of(standing value)
{
    return value == standing::healthy ? "least_cost" : to_string(value);
}

/// Moves a random choice of at most \p count of the indices to the front and
/// drops the others.
void sample(std::vector<std::size_t>& among, std::size_t count,
            std::mt19937_64& random)
{
    std::size_t const kept = std::min(count, among.size());
    for (std::size_t i = 0; i < kept; ++i)
        std::swap(among[i], among[i + draw(among.size() - i, random)]);
    among.resize(kept);
}

/// The cheapest of a few random candidates; `who` is null without any.
choice cheapest(selection const& from, std::vector<std::size_t> local,
                std::vector<std::size_t> other, std::mt19937_64& random)
{
    sample(local, most_compared, random);
    sample(other, most_compared, random);
    local.insert(local.end(), other.begin(), other.end());
    std::uniform_real_distribution<double> noise(0, cost_noise);
    choice result{nullptr, "no_candidate", from.candidates.size()};
    double least = 0;
    for (std::size_t const index : local)
    {
        double const cost = cost_of(from, index) + noise(random);
        if (result.who != nullptr && cost >= least)
            continue;
        least = cost;
        result.who = &from.candidates[index];
        result.reason = reason_of(from.standings[index]);
        result.passed_over = from.candidates.size() - 1;
        result.doubt = index < from.doubts.size() ? from.doubts[index] : 0;
    }
    return result;
}

/// Splits the eligible candidates that \p wanted selects by data centre.
template <class Wanted>
void collect(selection const& from, Wanted wanted,
             std::vector<std::size_t>& local, std::vector<std::size_t>& other)
{
    local.clear();
    other.clear();
    for (std::size_t i = 0; i < from.candidates.size(); ++i)
    {
        if (!eligible(from, i) || !wanted(i))
            continue;
        bool const near =
            from.candidates[i].home_data_centre == from.data_centre;
        (near ? local : other).push_back(i);
    }
}

/// A test of a server in doubt or in probation, each as often as the others;
/// `who` is null when this request is none.
choice choose_test(selection const& from, std::mt19937_64& random)
{
    choice result;
    if (!from.may_test || !from.repeatable)
        return result;
    for (auto const& [tested, share] :
         {std::pair(standing::doubtful, doubt_share),
          std::pair(standing::probation, probation_share)})
    {
        if (draw(share, random) != 0)
            continue;
        std::vector<std::size_t> among;
        for (std::size_t i = 0; i < from.candidates.size(); ++i)
        {
            if (from.standings[i] == tested && eligible(from, i) &&
                is_testable(from, i))
                among.push_back(i);
        }
        if (among.empty())
            continue;
        result.who = &from.candidates[among[draw(among.size(), random)]];
        result.reason =
            tested == standing::doubtful ? "doubt_test" : "probation_trickle";
        result.passed_over = from.candidates.size() - 1;
        result.doubt = any_failure_probability;
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
    case standing::doubtful:
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

void note_silence(home_evidence& evidence, std::uint64_t home, unsigned strikes,
                  time_point now)
{
    if (evidence.homes.size() >= max_silent_homes)
        evidence.homes.clear();
    home_evidence::silence& entry = evidence.homes[home];
    entry.strikes += strikes;
    if (entry.strikes < strikes_for_skip || now < entry.skip_until)
        return;
    duration const skip =
        std::min(longest_skip, first_skip * (1 << std::min(entry.skips, 5U)));
    ++entry.skips;
    entry.skip_until = now + skip;
}

void note_answer(home_evidence& evidence, std::uint64_t home)
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
    std::vector<std::size_t> doubtful;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        standing const value = before_floor(candidates[i], evidence, now);
        result.standings.push_back(value);
        if (value == standing::healthy)
            result.capacity += candidates[i].slots;
        if (value != standing::ejected && value != standing::probation)
            continue;
        result.capacity += candidates[i].slots;
        doubtful.push_back(i);
    }
    std::sort(doubtful.begin(), doubtful.end(),
              [&](std::size_t a, std::size_t b)
              { return is_worse(candidates[a], candidates[b]); });
    bool honoured = true;
    for (std::size_t const i : doubtful)
    {
        std::uint32_t const slots = candidates[i].slots;
        honoured = honoured && result.capacity >= slots &&
                   result.capacity - slots >= floor_slots;
        if (honoured)
            result.capacity -= slots;
        else
            result.standings[i] = standing::kept_by_floor;
    }
    return result;
}

std::uint32_t floor_of(std::span<members::candidate const> candidates,
                       std::uint32_t slots, double share)
{
    std::uint32_t usable = 0;
    for (members::candidate const& who : candidates)
        usable += in_use(who) ? who.slots : 0;
    return std::max(slots,
                    static_cast<std::uint32_t>(std::ceil(share * usable)));
}

std::vector<double> apply_doubts(std::span<members::candidate const> candidates,
                                 doubt_map const& doubts, time_point now,
                                 std::vector<standing>& standings)
{
    std::vector<double> result;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const told = doubts.find(candidates[i].server);
        duration const age =
            told == doubts.end() ? duration(0) : now - told->second.at;
        double const doubt =
            told == doubts.end()
                ? prior_failure_probability
                : decayed_failure_probability(told->second.probability, age);
        result.push_back(doubt);
        if (doubt >= failure_probability_limit &&
            (standings[i] == standing::healthy ||
             standings[i] == standing::kept_by_floor))
            standings[i] = standing::doubtful;
    }
    return result;
}

std::uint32_t sharing_servers(assessment const& found)
{
    auto const all = static_cast<std::uint32_t>(found.standings.size());
    auto const sound = static_cast<std::uint32_t>(
        std::ranges::count_if(found.standings, is_sound));
    return std::max({1U, sound, (all + 1) / 2});
}

double load_of(members::candidate const& who,
               outstanding_map const& outstanding)
{
    auto const own = outstanding.find(who.server);
    std::uint32_t const least = own == outstanding.end() ? 0 : own->second;
    std::uint32_t const busy = std::max(who.in_flight + who.queued, least);
    return static_cast<double>(busy) / std::max(1U, who.slots);
}

choice choose(selection const& from, std::mt19937_64& random)
{
    if (choice const test = choose_test(from, random); test.who != nullptr)
        return test;
    std::vector<std::size_t> local;
    std::vector<std::size_t> other;
    // Not even when the sound ones were tried: under load they refuse, and a
    // failing server looks idle.
    bool const avoids_doubt = std::ranges::any_of(from.standings, is_sound);
    collect(
        from,
        [&](std::size_t i)
        {
            return from.standings[i] <= standing::skipped &&
                   !(avoids_doubt && from.standings[i] == standing::doubtful);
        },
        local, other);
    return cheapest(from, local, other, random);
}

} // namespace gooseberrycove::routing
