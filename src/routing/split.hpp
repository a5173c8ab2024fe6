#ifndef GOOSEBERRYCOVE_ROUTING_SPLIT_HPP
#define GOOSEBERRYCOVE_ROUTING_SPLIT_HPP

#include <gooseberrycove/config.hpp>

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::routing
{

/// Round-robin state of one split route.
struct split_position
{
    std::vector<double> weights;
    /// Requests due to each part minus those that it received, multiplied by
    /// the sum of the weights.
    std::vector<double> credits;
};

/// Keyed by route name.
using split_positions = std::map<std::string, split_position, std::less<>>;

/// The service for the next request of a split route. Smooth weighted
/// round-robin keeps each part's share within one request in a window of any
/// length. A part without free capacity is still chosen, because its excess
/// requests must be refused and not moved to another part. The starting point
/// is random, so that the shares also hold over many daemons with few requests
/// each.
///
/// \returns an empty view when all weights are 0
std::string_view next_part(split_positions& positions,
                           config::route_view const& route,
                           std::mt19937_64& random);

} // namespace gooseberrycove::routing

#endif
