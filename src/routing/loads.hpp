#ifndef GOOSEBERRYCOVE_ROUTING_LOADS_HPP
#define GOOSEBERRYCOVE_ROUTING_LOADS_HPP

#include <gooseberrycove/members.hpp>

#include <span>

namespace gooseberrycove::routing
{

/// Applies the loads that a refusing home passed on where they are newer than
/// the known ones.
void apply_siblings(std::span<members::candidate> candidates,
                    std::span<sibling_load const> siblings, time_point now);

/// Copies the loads of \p known that are newer to the same servers at the same
/// homes in \p candidates; both are sorted by server.
void keep_newer_loads(std::span<members::candidate> candidates,
                      std::span<members::candidate const> known);

} // namespace gooseberrycove::routing

#endif
