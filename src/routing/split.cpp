#include "split.hpp"

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

split_position start_position(std::vector<std::uint32_t> weights,
                              std::mt19937_64& random)
{
    split_position made;
    made.weights = std::move(weights);
    std::int64_t total = 0;
    for (std::uint32_t const weight : made.weights)
        total += weight;
    made.credits.resize(made.weights.size());
    if (total == 0)
        return made;
    // One part is that far ahead, and the others have together fallen behind
    // by as much; the sum stays 0.
    std::uniform_int_distribution<std::int64_t> lead(0, total - 1);
    std::uniform_int_distribution<std::size_t> part(0, made.credits.size() - 1);
    std::int64_t const moved = lead(random);
    made.credits[part(random)] += moved;
    made.credits[part(random)] -= moved;
    return made;
}

} // namespace

std::string_view next_part(split_positions& positions,
                           config::route_view const& route,
                           std::mt19937_64& random)
{
    std::vector<std::uint32_t> weights;
    std::int64_t total = 0;
    for (config::split_part const& part : route.split)
    {
        weights.push_back(part.weight);
        total += part.weight;
    }
    if (total == 0)
        return {};
    split_position& position = positions[std::string(route.name)];
    if (position.weights != weights)
        position = start_position(std::move(weights), random);
    std::size_t best = position.credits.size();
    for (std::size_t i = 0; i < position.credits.size(); ++i)
    {
        position.credits[i] += position.weights[i];
        if (position.weights[i] == 0)
            continue;
        if (best == position.credits.size() ||
            position.credits[i] > position.credits[best])
            best = i;
    }
    position.credits[best] -= total;
    return route.split[best].service;
}

} // namespace gooseberrycove::routing
