#include "decisions.hpp"

namespace gooseberrycove::routing
{

explanation explain(state const& self, looked_up const& config, time_point now)
{
    explanation result;
    bool const is_open = config.route && config.route->is_open;
    if (!config.configured)
        result.kind = error_kind::no_configuration;
    else if (!config.account && !is_open && config.has_accounts)
        result.kind = error_kind::unauthenticated;
    else if (!config.route)
        result.kind = error_kind::no_route;
    if (!config.route)
        return result;
    result.route = config.route->name;
    result.service = config.route->service;
    result.priority = config.priority_name;
    result.repeatable = config.route->repeatable;
    auto const service = self.services.find(config.route->service);
    if (service == self.services.end())
    {
        result.kind = error_kind::no_server;
        result.floor_slots = config.floor_slots;
        return result;
    }
    std::span<members::candidate const> const candidates =
        service->second.candidates;
    result.floor_slots =
        floor_of(candidates, config.floor_slots, config.floor_share);
    assessment const found =
        assess(candidates, result.floor_slots, self.evidence, now);
    result.healthy_slots = found.capacity;
    bool any = false;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        standing const value = found.standings[i];
        bool const eligible = value <= standing::skipped &&
                              (result.repeatable ||
                               candidates[i].health != health_state::probation);
        any = any || eligible;
        result.candidates.push_back(
            {candidates[i], eligible, std::string(to_string(value))});
    }
    if (!any && result.kind == error_kind::none)
        result.kind = error_kind::no_server;
    return result;
}

} // namespace gooseberrycove::routing
