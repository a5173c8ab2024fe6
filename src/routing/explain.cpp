#include "decisions.hpp"

namespace gooseberrycove::routing
{

explanation explain(routing_state const& state, lookup_result const& lookup,
                    time_point now)
{
    explanation result;
    bool const is_open = lookup.route && lookup.route->is_open;
    if (!lookup.is_configured)
        result.kind = error_kind::no_configuration;
    else if (!lookup.account && !is_open && lookup.has_accounts)
        result.kind = error_kind::unauthenticated;
    else if (!lookup.route)
        result.kind = error_kind::no_route;
    if (!lookup.route)
        return result;
    result.route = lookup.route->name;
    result.service = lookup.route->service;
    result.priority = lookup.priority_name;
    result.repeatable = lookup.route->repeatable;
    auto const service = state.services.find(lookup.route->service);
    if (service == state.services.end())
    {
        result.kind = error_kind::no_server;
        result.floor_slots = lookup.floor_slots;
        return result;
    }
    std::span<members::candidate const> const candidates =
        service->second.candidates;
    result.floor_slots =
        effective_floor(candidates, lookup.floor_slots, lookup.floor_share);
    assessment const assessed =
        assess(candidates, result.floor_slots, state.evidence, now);
    result.healthy_slots = assessed.capacity;
    bool has_eligible = false;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        standing const value = assessed.standings[i];
        bool const is_eligible =
            value <= standing::skipped &&
            (result.repeatable ||
             candidates[i].health != health_state::probation);
        has_eligible = has_eligible || is_eligible;
        result.candidates.push_back(
            {candidates[i], is_eligible, std::string(to_string(value))});
    }
    if (!has_eligible && result.kind == error_kind::none)
        result.kind = error_kind::no_server;
    return result;
}

} // namespace gooseberrycove::routing
