#include "config/references.hpp"

#include "config/entry_json.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::config
{

namespace
{

bool accepts(service const& one, priority_index wanted)
{
    return std::any_of(one.shares.begin(), one.shares.end(),
                       [&](priority_share const& share)
                       { return share.priority == wanted; });
}

/// Whether every priority of \p before is one of \p after by its name.
bool keeps_priorities(service const& before, table_data const& base,
                      service const& after, table_data const& data)
{
    auto const name_of = [](table_data const& from, priority_index index)
    {
        return index < from.priorities.size() ? from.priorities[index].name
                                              : std::string();
    };
    return std::all_of(before.shares.begin(), before.shares.end(),
                       [&](priority_share const& old)
                       {
                           std::string const name = name_of(base, old.priority);
                           return std::any_of(
                               after.shares.begin(), after.shares.end(),
                               [&](priority_share const& share) {
                                   return name_of(data, share.priority) == name;
                               });
                       });
}

std::string_view removed_name(table_data const& base, priority_index index)
{
    return base.priorities[index - removed_priority].name;
}

/// Every service that the route leads to.
std::vector<std::string> services_of(route const& one)
{
    std::vector<std::string> names;
    for (weighted_service const& part : one.split)
        names.push_back(part.service);
    if (names.empty())
        names.push_back(one.service);
    return names;
}

/// Checks one route that the patch sets.
void check_set_route(table_data const& data, route const& one,
                     std::vector<patch_error>& faults)
{
    std::string const path = pointer_to("/routes", one.name);
    for (std::string const& name : services_of(one))
    {
        service const* const target = find_service(data, name);
        if (target == nullptr)
            faults.push_back(
                {pointer_to(path, one.split.empty() ? "service" : "split"),
                 fmt::format("no service named '{}'", name)});
        else if (!accepts(*target, one.priority))
            faults.push_back(
                {pointer_to(path, "priority"),
                 fmt::format("service '{}' does not accept this priority",
                             name)});
    }
    std::string const other = find_same_pattern(data, one);
    if (!other.empty())
        faults.push_back(
            {pointer_to(path, "path"),
             fmt::format("route '{}' has the same method and path", other)});
}

/// Checks one route that the patch does not set against what it changes.
void check_kept_route(table_data const& data, table_data const& base,
                      route const& one, std::vector<patch_error>& faults)
{
    if (one.priority >= removed_priority)
    {
        faults.push_back(
            {pointer_to("/priorities", removed_name(base, one.priority)),
             fmt::format("route '{}' uses it", one.name)});
        return;
    }
    for (std::string const& name : services_of(one))
    {
        std::string const path = pointer_to("/services", name);
        service const* const target = find_service(data, name);
        if (target == nullptr)
            faults.push_back(
                {path, fmt::format("route '{}' uses it", one.name)});
        else if (!accepts(*target, one.priority))
            faults.push_back({pointer_to(pointer_to(path, "priorities"),
                                         data.priorities[one.priority].name),
                              fmt::format("route '{}' uses it", one.name)});
    }
}

void check_service(table_data const& base, service const& one,
                   std::vector<patch_error>& faults)
{
    for (priority_share const& share : one.shares)
    {
        if (share.priority >= removed_priority)
            faults.push_back(
                {pointer_to("/priorities", removed_name(base, share.priority)),
                 fmt::format("service '{}' uses it", one.name)});
    }
}

} // namespace

change_summary summarise(table_edit const& edit, table_data const& base,
                         bool sections_cleared)
{
    change_summary result;
    result.check_all =
        sections_cleared ||
        std::any_of(base.priorities.begin(), base.priorities.end(),
                    [&](priority const& old)
                    {
                        return std::none_of(edit.data.priorities.begin(),
                                            edit.data.priorities.end(),
                                            [&](priority const& one)
                                            { return one.name == old.name; });
                    });
    for (change<route> const& one : edit.routes)
    {
        if (one.value)
            result.routes.insert(one.name);
    }
    for (change<service> const& one : edit.services)
    {
        service const* const old = find_service(base, one.name);
        if (old == nullptr)
            continue;
        if (!one.value || !keeps_priorities(*old, base, *one.value, edit.data))
            result.check_all = true;
    }
    return result;
}

void check_references(table_data const& data, table_data const& base,
                      change_summary const& changed,
                      std::vector<patch_error>& faults)
{
    for (std::string const& name : changed.routes)
    {
        if (auto const one = find_route(data, name))
            check_set_route(data, *one, faults);
    }
    if (!changed.check_all)
        return;
    for_each_service(data, [&](service const& one)
                     { check_service(base, one, faults); });
    for_each_route(data,
                   [&](route const& one)
                   {
                       if (!changed.routes.contains(one.name))
                           check_kept_route(data, base, one, faults);
                   });
}

} // namespace gooseberrycove::config
