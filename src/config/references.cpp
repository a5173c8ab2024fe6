#include "config/references.hpp"

#include "config/entry_json.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::config
{

namespace
{

bool accepts_priority(service const& target, priority_index index)
{
    return std::any_of(target.shares.begin(), target.shares.end(),
                       [&](priority_share const& share)
                       { return share.priority == index; });
}

/// Whether \p after accepts every priority of \p before, compared by name.
bool keeps_priorities(service const& before, table_data const& base,
                      service const& after, table_data const& data)
{
    auto const priority_name =
        [](table_data const& version, priority_index index)
    {
        return index < version.priorities.size()
                   ? version.priorities[index].name
                   : std::string();
    };
    return std::all_of(
        before.shares.begin(), before.shares.end(),
        [&](priority_share const& old)
        {
            std::string const name = priority_name(base, old.priority);
            return std::any_of(
                after.shares.begin(), after.shares.end(),
                [&](priority_share const& share)
                { return priority_name(data, share.priority) == name; });
        });
}

std::string_view removed_priority_name(table_data const& base,
                                       priority_index index)
{
    return base.priorities[index - removed_priority].name;
}

/// Names of all services to which the route sends requests.
std::vector<std::string> target_services(route const& source)
{
    std::vector<std::string> names;
    for (weighted_service const& part : source.split)
        names.push_back(part.service);
    if (names.empty())
        names.push_back(source.service);
    return names;
}

/// Checks one route that the patch sets.
void check_set_route(table_data const& data, route const& checked,
                     std::vector<patch_error>& errors)
{
    check_route(data, checked, errors);
    std::string const path = pointer_to("/routes", checked.name);
    std::string const conflicting = find_conflicting_route(data, checked);
    if (!conflicting.empty())
        errors.push_back({pointer_to(path, "path"),
                          fmt::format("route '{}' has the same method and path",
                                      conflicting)});
}

/// Checks one route that the patch does not set against the services and
/// priorities that it changes.
void check_kept_route(table_data const& data, table_data const& base,
                      route const& checked, std::vector<patch_error>& errors)
{
    if (checked.priority >= removed_priority)
    {
        errors.push_back(
            {pointer_to("/priorities",
                        removed_priority_name(base, checked.priority)),
             fmt::format("route '{}' uses it", checked.name)});
        return;
    }
    for (std::string const& name : target_services(checked))
    {
        std::string const path = pointer_to("/services", name);
        service const* const target = find_service(data, name);
        if (target == nullptr)
            errors.push_back(
                {path, fmt::format("route '{}' uses it", checked.name)});
        else if (!accepts_priority(*target, checked.priority))
            errors.push_back(
                {pointer_to(pointer_to(path, "priorities"),
                            data.priorities[checked.priority].name),
                 fmt::format("route '{}' uses it", checked.name)});
    }
}

void check_service(table_data const& base, service const& checked,
                   std::vector<patch_error>& errors)
{
    for (priority_share const& share : checked.shares)
    {
        if (share.priority >= removed_priority)
            errors.push_back(
                {pointer_to("/priorities",
                            removed_priority_name(base, share.priority)),
                 fmt::format("service '{}' uses it", checked.name)});
    }
}

} // namespace

void check_route(table_data const& data, route const& checked,
                 std::vector<patch_error>& errors)
{
    std::string const path = pointer_to("/routes", checked.name);
    for (std::string const& name : target_services(checked))
    {
        service const* const target = find_service(data, name);
        if (target == nullptr)
            errors.push_back(
                {pointer_to(path, checked.split.empty() ? "service" : "split"),
                 fmt::format("no service named '{}'", name)});
        else if (!accepts_priority(*target, checked.priority))
            errors.push_back(
                {pointer_to(path, "priority"),
                 fmt::format("service '{}' does not accept this priority",
                             name)});
    }
}

change_summary summarise_changes(table_edit const& edit, table_data const& base,
                                 bool sections_cleared)
{
    change_summary result;
    result.requires_full_check =
        sections_cleared ||
        std::any_of(base.priorities.begin(), base.priorities.end(),
                    [&](priority const& old)
                    {
                        return std::none_of(edit.data.priorities.begin(),
                                            edit.data.priorities.end(),
                                            [&](priority const& kept)
                                            { return kept.name == old.name; });
                    });
    for (change<route> const& entry : edit.routes)
    {
        if (entry.value)
            result.routes.insert(entry.name);
    }
    for (change<service> const& entry : edit.services)
    {
        service const* const old = find_service(base, entry.name);
        if (old == nullptr)
            continue;
        if (!entry.value ||
            !keeps_priorities(*old, base, *entry.value, edit.data))
            result.requires_full_check = true;
    }
    return result;
}

void check_references(table_data const& data, table_data const& base,
                      change_summary const& changed,
                      std::vector<patch_error>& errors)
{
    for (std::string const& name : changed.routes)
    {
        if (auto const found = find_route(data, name))
            check_set_route(data, *found, errors);
    }
    if (!changed.requires_full_check)
        return;
    for_each_service(data, [&](service const& checked)
                     { check_service(base, checked, errors); });
    for_each_route(data,
                   [&](route const& kept)
                   {
                       if (!changed.routes.contains(kept.name))
                           check_kept_route(data, base, kept, errors);
                   });
}

} // namespace gooseberrycove::config
