#ifndef GOOSEBERRYCOVE_ROUTING_SPLIT_HPP
#define GOOSEBERRYCOVE_ROUTING_SPLIT_HPP

#include <gooseberrycove/config.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::routing
{

/// Where one split route stands in the sequence of its parts.
struct split_position
{
    std::vector<std::uint32_t> weights;
    /// Lead of each part over what it has got, in requests times the sum of
    /// the weights.
    std::vector<std::int64_t> credits;
};

/// By the names of the routes.
using split_positions = std::map<std::string, split_position, std::less<>>;

/// The service for the next request of a split route: smooth weighted
/// round-robin, so that the parts keep their shares within one request in any
/// window, however short. A part without room is still chosen, because what
/// does not fit there must be refused and not moved to another part. The
/// starting point is random, so that many daemons together keep the shares.
///
/// \returns an empty view when all weights are 0
std::string_view next_part(split_positions& positions,
                           config::route_view const& route,
                           std::mt19937_64& random);

} // namespace gooseberrycove::routing

#endif
