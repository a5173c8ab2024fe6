#include "split.hpp"

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

split_position start_position(std::vector<double> weights,
                              std::mt19937_64& random)
{
    split_position position;
    position.weights = std::move(weights);
    double total = 0;
    for (double const weight : position.weights)
        total += weight;
    position.credits.resize(position.weights.size());
    if (total == 0)
        return position;
    // Moves a random number of credits from one part to another; the sum of all
    // credits stays 0.
    std::uniform_real_distribution<double> lead(0, total);
    std::uniform_int_distribution<std::size_t> part(0, position.credits.size() -
                                                           1);
    double const shift = lead(random);
    position.credits[part(random)] += shift;
    position.credits[part(random)] -= shift;
    return position;
}

} // namespace

std::string_view next_part(split_positions& positions,
                           config::route_view const& route,
                           std::mt19937_64& random)
{
    std::vector<double> weights;
    double total = 0;
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
