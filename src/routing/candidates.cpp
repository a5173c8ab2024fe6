#include "candidates.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::routing
{

namespace
{

/// Load at which the own data centre no longer goes first: above it the work
/// would queue, which costs more than the way to another data centre.
constexpr double local_load_limit = 1.0;

/// One in this many repeatable requests tests a server in probation. About 20
/// samples decide the test, and its failures cost a retry each.
constexpr std::uint64_t trickle_share = 8;

constexpr unsigned strikes_for_skip = 2;
constexpr duration first_skip = std::chrono::seconds(1);
constexpr duration longest_skip = std::chrono::seconds(30);
/// Bound of home_evidence; there are about 6,000 homes.
constexpr std::size_t max_silent_homes = 8192;

bool in_use(members::candidate const& who)
{
    return who.state == members::server_state::serving && who.home_alive;
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
    if (!who.home_alive)
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

/// The less loaded of two distinct random candidates.
std::size_t pick_of_two(selection const& from,
                        std::span<std::size_t const> among,
                        std::mt19937_64& random)
{
    std::size_t const first = draw(among.size(), random);
    if (among.size() == 1)
        return among[first];
    std::size_t second = draw(among.size() - 1, random);
    if (second >= first)
        ++second;
    double const one = load_of(from.candidates[among[first]], from.outstanding);
    double const two =
        load_of(from.candidates[among[second]], from.outstanding);
    return one <= two ? among[first] : among[second];
}

std::string_view reason_of(standing value)
{
    return value == standing::healthy ? "least_loaded_of_two"
                                      : to_string(value);
}

/// A test takes one request at a time.
bool busy(selection const& from, std::size_t index)
{
    return load_of(from.candidates[index], from.outstanding) > 0;
}

/// Splits the eligible candidates of one standing by data centre.
void collect(selection const& from, standing wanted,
             std::vector<std::size_t>& local, std::vector<std::size_t>& other)
{
    local.clear();
    other.clear();
    for (std::size_t i = 0; i < from.candidates.size(); ++i)
    {
        if (from.standings[i] != wanted || !eligible(from, i))
            continue;
        bool const near =
            from.candidates[i].home_data_centre == from.data_centre;
        (near ? local : other).push_back(i);
    }
}

choice pick(selection const& from, standing wanted,
            std::span<std::size_t const> local,
            std::span<std::size_t const> other, std::mt19937_64& random)
{
    choice result{nullptr, reason_of(wanted), from.candidates.size() - 1};
    auto const load = [&](std::size_t index)
    { return load_of(from.candidates[index], from.outstanding); };
    if (local.empty())
    {
        result.who = &from.candidates[pick_of_two(from, other, random)];
        return result;
    }
    std::size_t index = pick_of_two(from, local, random);
    if (load(index) > local_load_limit && !other.empty())
    {
        std::size_t const far = pick_of_two(from, other, random);
        if (load(far) < load(index))
        {
            index = far;
            result.reason = "data_centre_loaded";
        }
    }
    result.who = &from.candidates[index];
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

void apply_doubts(std::span<members::candidate const> candidates,
                  doubt_map const& doubts, time_point now,
                  std::vector<standing>& standings)
{
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const told = doubts.find(candidates[i].server);
        if (told == doubts.end() || standings[i] != standing::healthy)
            continue;
        duration const age = now - told->second.at;
        if (faded_doubt(told->second.probability, age) >= doubt_limit)
            standings[i] = standing::doubtful;
    }
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
    std::vector<std::size_t> local;
    std::vector<std::size_t> other;
    if (from.may_test && from.repeatable && draw(trickle_share, random) == 0)
    {
        for (standing const tested : {standing::doubtful, standing::probation})
        {
            collect(from, tested, local, other);
            std::erase_if(local, [&](std::size_t i) { return busy(from, i); });
            std::erase_if(other, [&](std::size_t i) { return busy(from, i); });
            if (local.empty() && other.empty())
                continue;
            choice result = pick(from, tested, local, other, random);
            result.reason = tested == standing::doubtful ? "doubt_test"
                                                         : "probation_trickle";
            return result;
        }
    }
    for (standing const wanted : {standing::healthy, standing::doubtful,
                                  standing::probation, standing::kept_by_floor,
                                  standing::skipped})
    {
        collect(from, wanted, local, other);
        if (!local.empty() || !other.empty())
            return pick(from, wanted, local, other, random);
    }
    return {nullptr, "no_candidate", from.candidates.size()};
}

} // namespace gooseberrycove::routing
