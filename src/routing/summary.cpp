#include "attempts.hpp"
#include "decisions.hpp"

namespace gooseberrycove::routing
{

std::vector<service_summary> summarize(routing_state const& state,
                                       time_point now)
{
    std::vector<service_summary> list;
    for (auto const& [name, service] : state.services)
    {
        if (service.candidates.empty())
            continue;
        assessment const assessed = assess(service, state.evidence, now);
        service_summary entry;
        entry.service = name;
        entry.floor_slots = effective_floor(
            service.candidates, service.floor_slots, service.floor_share);
        entry.healthy_slots = assessed.capacity;
        entry.servers = static_cast<std::uint32_t>(service.candidates.size());
        for (standing const value : assessed.standings)
            entry.ejected += value == standing::ejected ? 1 : 0;
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace gooseberrycove::routing
