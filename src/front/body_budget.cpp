#include "body_budget.hpp"

#include <algorithm>
#include <tuple>

namespace gooseberrycove::front
{

namespace
{

/// An unfinished body that may give way.
struct candidate
{
    std::uint64_t body = 0;
    bool is_stalled = false;
    std::size_t client_bodies = 0;
    std::uint64_t bytes = 0;
};

/// Limit of all bodies for one that grows to \p bytes.
std::uint64_t limit_for(body_budget const& budget, std::uint64_t bytes)
{
    if (bytes <= small_body_bytes)
        return budget.max_bytes;
    return budget.max_bytes - budget.max_bytes / small_reserve_divisor;
}

std::uint64_t small_part(std::uint64_t bytes)
{
    return bytes <= small_body_bytes ? bytes * copies_of_body : 0;
}

bool fits_reserve(body_budget const& budget, std::uint64_t bytes_before,
                  std::uint64_t bytes)
{
    return bytes <= small_body_bytes &&
           budget.small_held_bytes - small_part(bytes_before) +
                   small_part(bytes) <=
               budget.max_bytes / small_reserve_divisor;
}

std::size_t bodies_of(body_budget const& budget, std::string const& client)
{
    auto const found = budget.bodies_of_client.find(client);
    return found == budget.bodies_of_client.end() ? 0 : found->second;
}

std::vector<candidate> list_candidates(body_budget const& budget,
                                       std::uint64_t growing,
                                       std::size_t growing_client_bodies,
                                       bool is_small, time_point now)
{
    std::vector<candidate> found;
    for (auto const& [body, state] : budget.bodies)
    {
        if (body == growing || state.is_complete || state.bytes == 0)
            continue;
        candidate const item{body, now - state.last_progress >= stalled_after,
                             bodies_of(budget, state.client), state.bytes};
        bool const gives_way_to_small =
            is_small && state.bytes > small_body_bytes;
        if (!item.is_stalled && !gives_way_to_small &&
            item.client_bodies <= growing_client_bodies)
            continue;
        found.push_back(item);
    }
    std::ranges::sort(found,
                      [](candidate const& left, candidate const& right)
                      {
                          return std::tie(left.is_stalled, left.client_bodies,
                                          left.bytes, left.body) >
                                 std::tie(right.is_stalled, right.client_bodies,
                                          right.bytes, right.body);
                      });
    return found;
}

} // namespace

void add_body(body_budget& budget, std::uint64_t body,
              std::string const& client, time_point now)
{
    budget.bodies[body] = {client, 0, now, false};
    ++budget.bodies_of_client[client];
}

growth_decision decide_growth(body_budget const& budget, std::uint64_t body,
                              std::uint64_t bytes, time_point now)
{
    open_body const& growing = budget.bodies.at(body);
    std::uint64_t const others =
        budget.held_bytes - growing.bytes * copies_of_body;
    std::uint64_t const limit = limit_for(budget, bytes);
    std::uint64_t needed = others + bytes * copies_of_body;
    growth_decision result;
    if (budget.max_bytes == 0 || others == 0 || needed <= limit ||
        fits_reserve(budget, growing.bytes, bytes))
    {
        result.is_admitted = true;
        return result;
    }
    std::vector<candidate> const candidates =
        list_candidates(budget, body, bodies_of(budget, growing.client),
                        bytes <= small_body_bytes, now);
    for (candidate const& item : candidates)
    {
        result.ended.push_back(item.body);
        needed -= item.bytes * copies_of_body;
        if (needed > limit && needed > bytes * copies_of_body)
            continue;
        result.is_admitted = true;
        return result;
    }
    // Ending them would not make enough room.
    result.ended.clear();
    return result;
}

void set_body_bytes(body_budget& budget, std::uint64_t body,
                    std::uint64_t bytes, time_point now)
{
    open_body& state = budget.bodies.at(body);
    budget.held_bytes += bytes * copies_of_body;
    budget.held_bytes -= state.bytes * copies_of_body;
    budget.small_held_bytes += small_part(bytes);
    budget.small_held_bytes -= small_part(state.bytes);
    state.bytes = bytes;
    state.last_progress = now;
}

void complete_body(body_budget& budget, std::uint64_t body)
{
    budget.bodies.at(body).is_complete = true;
}

void remove_body(body_budget& budget, std::uint64_t body)
{
    auto const removed = budget.bodies.extract(body);
    if (removed.empty())
        return;
    budget.held_bytes -= removed.mapped().bytes * copies_of_body;
    budget.small_held_bytes -= small_part(removed.mapped().bytes);
    auto const client = budget.bodies_of_client.find(removed.mapped().client);
    if (--client->second == 0)
        budget.bodies_of_client.erase(client);
}

std::vector<std::uint64_t> find_overdue_bodies(body_budget const& budget,
                                               time_point now)
{
    std::vector<std::uint64_t> overdue;
    if (budget.max_bytes == 0 ||
        budget.held_bytes < budget.max_bytes / pressure_divisor)
        return overdue;
    for (auto const& [body, state] : budget.bodies)
    {
        if (!state.is_complete && now - state.last_progress >= max_stall)
            overdue.push_back(body);
    }
    return overdue;
}

} // namespace gooseberrycove::front
