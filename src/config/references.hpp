#ifndef GOOSEBERRYCOVE_CONFIG_REFERENCES_HPP
#define GOOSEBERRYCOVE_CONFIG_REFERENCES_HPP

#include "config/table_edit.hpp"

#include <set>
#include <string>
#include <vector>

namespace gooseberrycove::config
{

/// What a patch touches, as far as other entries refer to it.
struct change_summary
{
    /// Routes that the patch sets.
    std::set<std::string, std::less<>> routes;
    /// All entries must be checked: the patch removes a service or a priority,
    /// or changes the priorities of a service.
    bool requires_full_check = false;
};

/// To be called before flush(), which empties the queued changes.
/// \param sections_cleared  the patch removes all services or priorities
change_summary summarise_changes(table_edit const& edit, table_data const& base,
                                 bool sections_cleared);

/// Adds a fault for each reference that does not hold in \p data: a route to
/// its service, of a route or service to a priority, and patterns used twice.
void check_references(table_data const& data, table_data const& base,
                      change_summary const& changed,
                      std::vector<patch_error>& errors);

} // namespace gooseberrycove::config

#endif
