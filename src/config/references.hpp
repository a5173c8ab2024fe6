#ifndef GOOSEBERRYCOVE_CONFIG_REFERENCES_HPP
#define GOOSEBERRYCOVE_CONFIG_REFERENCES_HPP

#include "config/table_edit.hpp"

#include <set>
#include <string>
#include <vector>

namespace gooseberrycove::config
{

/// Changes of a patch that can break references between entries.
struct change_summary
{
    /// Routes that the patch sets.
    std::set<std::string, std::less<>> routes;
    /// All entries must be checked: the patch removes a service or a priority,
    /// or changes the priorities of a service.
    bool requires_full_check = false;
};

/// Adds an error for each service or priority of the route that does not exist
/// in \p data.
void check_route(table_data const& data, route const& checked,
                 std::vector<patch_error>& errors);

/// Must be called before flush(), which empties the queued changes.
/// \param sections_cleared  the patch removes all services or priorities
change_summary summarise_changes(table_edit const& edit, table_data const& base,
                                 bool sections_cleared);

/// Adds an error for each broken reference in \p data, from a route to its
/// service or from a route or service to a priority, and for each pattern that
/// two routes share.
void check_references(table_data const& data, table_data const& base,
                      change_summary const& changed,
                      std::vector<patch_error>& errors);

} // namespace gooseberrycove::config

#endif
