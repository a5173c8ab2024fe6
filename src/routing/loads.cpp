#include "loads.hpp"

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

/// Bound of the loads of siblings that are taken from one refusal.
constexpr std::size_t max_applied_siblings = 16;

} // namespace

void apply_siblings(std::span<members::candidate> candidates,
                    std::span<sibling_load const> siblings, time_point now)
{
    for (sibling_load const& sibling :
         siblings.first(std::min(siblings.size(), max_applied_siblings)))
    {
        time_point const reported = now - sibling.age;
        for (members::candidate& candidate : candidates)
        {
            if (candidate.server != sibling.server ||
                candidate.home != sibling.home ||
                (candidate.load_at && *candidate.load_at >= reported))
                continue;
            candidate.load_at = reported;
            candidate.in_flight = sibling.in_flight;
            candidate.queued = sibling.queued;
        }
    }
}

void keep_newer_loads(std::span<members::candidate> candidates,
                      std::span<members::candidate const> known)
{
    auto older = known.begin();
    for (members::candidate& candidate : candidates)
    {
        while (older != known.end() && older->server < candidate.server)
            ++older;
        if (older == known.end())
            return;
        if (older->server != candidate.server ||
            older->home != candidate.home || !older->load_at ||
            (candidate.load_at && *candidate.load_at >= *older->load_at))
            continue;
        candidate.load_at = older->load_at;
        candidate.in_flight = older->in_flight;
        candidate.queued = older->queued;
    }
}

} // namespace gooseberrycove::routing
