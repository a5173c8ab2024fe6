#ifndef GOOSEBERRYCOVE_CONFIG_TABLE_EDIT_HPP
#define GOOSEBERRYCOVE_CONFIG_TABLE_EDIT_HPP

#include "config/table_data.hpp"

#include <optional>
#include <string>
#include <vector>

namespace gooseberrycove::config
{

/// Sets or, without a value, removes one entry.
template <class Value>
struct change
{
    std::string name;
    std::optional<Value> value;
};

/// A version that is being built. flush() copies the shards that it changes.
struct table_edit
{
    table_data data;
    std::vector<change<account>> accounts;
    std::vector<change<route>> routes;
    std::vector<change<service>> services;
};

/// Applies the queued changes to data. When a name was queued twice the last
/// change counts.
void flush(table_edit& edit);

/// Replaces the priorities and renumbers them in routes and services. A
/// removed one that is still used becomes removed_priority plus its old index.
void replace_priorities(table_edit& edit, std::vector<priority> sorted);

/// Calls visit(route const&) for every route.
template <class Visit>
void for_each_route(table_data const& data, Visit visit)
{
    for (auto const& shard : data.routes)
    {
        if (!shard)
            continue;
        for (std::size_t i = 0; i < shard->entries.size(); ++i)
            visit(unpack(*shard, i));
    }
}

/// Calls visit(account const&) for every account.
template <class Visit>
void for_each_account(table_data const& data, Visit visit)
{
    for (auto const& shard : data.accounts)
    {
        if (!shard)
            continue;
        for (std::size_t i = 0; i < shard->entries.size(); ++i)
            visit(unpack(*shard, i));
    }
}

/// Calls visit(service const&) for every service.
template <class Visit>
void for_each_service(table_data const& data, Visit visit)
{
    for (auto const& shard : data.services)
    {
        if (!shard)
            continue;
        for (service const& entry : *shard)
            visit(entry);
    }
}

} // namespace gooseberrycove::config

#endif
