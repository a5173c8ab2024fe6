#include "config/table_edit.hpp"

#include <algorithm>
#include <map>
#include <span>

namespace gooseberrycove::config
{

namespace
{

template <class Value>
using change_list = std::vector<change<Value>>;

/// Groups changes by shard. Of several changes of one name the last is kept.
template <class Value, class Block, std::size_t Count>
std::map<std::size_t, std::map<std::string_view, change<Value> const*>>
group_by_shard(change_list<Value> const& changes,
               shards<Block, Count> const& table)
{
    std::map<std::size_t, std::map<std::string_view, change<Value> const*>>
        result;
    for (change<Value> const& entry : changes)
        result[shard_of(table, hash_name(entry.name))][entry.name] = &entry;
    return result;
}

std::vector<account> unpack_all(account_block const& accounts)
{
    std::vector<account> values;
    for (std::size_t i = 0; i < accounts.entries.size(); ++i)
        values.push_back(unpack(accounts, i));
    return values;
}

std::vector<route> unpack_all(route_block const& routes)
{
    std::vector<route> values;
    for (std::size_t i = 0; i < routes.entries.size(); ++i)
        values.push_back(unpack(routes, i));
    return values;
}

std::vector<service> unpack_all(service_block const& services)
{
    return services;
}

/// Returns the values that are not changed, followed by the new values.
template <class Value>
std::vector<Value>
apply_changes(std::vector<Value> values,
              std::map<std::string_view, change<Value> const*> const& changes)
{
    std::erase_if(values, [&](Value const& value)
                  { return changes.contains(value.name); });
    for (auto const& [name, entry] : changes)
    {
        if (entry->value)
            values.push_back(*entry->value);
    }
    return values;
}

template <class Entry>
struct index_change
{
    Entry entry;
    bool is_added = true;
};

template <class Entry, std::size_t Count>
void flush_index(shards<std::vector<Entry>, Count>& table,
                 std::vector<index_change<Entry>> const& all)
{
    std::map<std::size_t, std::vector<index_change<Entry>>> shard_changes;
    for (index_change<Entry> const& item : all)
        shard_changes[shard_of(table, item.entry.hash)].push_back(item);
    for (auto const& [index, changes] : shard_changes)
    {
        std::vector<Entry> values;
        if (table[index])
            values = *table[index];
        for (index_change<Entry> const& item : changes)
        {
            if (item.is_added)
                values.push_back(item.entry);
            else
                values.erase(
                    std::find(values.begin(), values.end(), item.entry));
        }
        std::sort(values.begin(), values.end());
        values.shrink_to_fit();
        table[index] =
            std::make_shared<std::vector<Entry> const>(std::move(values));
    }
}

void record_key_changes(std::vector<index_change<key_entry>>& keys,
                        account const& changed, bool is_added)
{
    for_each_key(changed,
                 [&](key_hash const& key)
                 {
                     keys.push_back(
                         {{hash_of_key(key),
                           static_cast<std::uint32_t>(hash_name(changed.name))},
                          is_added});
                 });
}

void flush_accounts(table_edit& edit)
{
    auto& table = edit.data.accounts;
    std::vector<index_change<key_entry>> removed;
    std::vector<index_change<key_entry>> added;
    for (auto const& [index, changes] : group_by_shard(edit.accounts, table))
    {
        std::vector<account> old;
        if (table[index])
            old = unpack_all(*table[index]);
        for (account const& previous : old)
        {
            if (changes.contains(previous.name))
                record_key_changes(removed, previous, false);
        }
        for (auto const& [name, entry] : changes)
        {
            if (entry->value)
                record_key_changes(added, *entry->value, true);
        }
        auto values = apply_changes(std::move(old), changes);
        std::sort(values.begin(), values.end(),
                  [](account const& left, account const& right)
                  { return in_block_order(left, right); });
        table[index] = std::make_shared<account_block const>(pack(values));
    }
    removed.insert(removed.end(), added.begin(), added.end());
    flush_index(edit.data.account_keys, removed);
    edit.accounts.clear();
}

void flush_services(table_edit& edit)
{
    auto& table = edit.data.services;
    for (auto const& [index, changes] : group_by_shard(edit.services, table))
    {
        std::vector<service> old;
        if (table[index])
            old = unpack_all(*table[index]);
        auto values = apply_changes(std::move(old), changes);
        std::sort(values.begin(), values.end(),
                  [](service const& left, service const& right)
                  { return left.name < right.name; });
        table[index] = std::make_shared<service_block const>(std::move(values));
    }
    edit.services.clear();
}

void update_wildcard_count(table_data& data, std::string_view pattern,
                           bool is_added)
{
    if (!pattern.ends_with('*'))
        return;
    std::size_t const length = pattern.size() - 1;
    if (data.wildcard_lengths.size() <= length)
        data.wildcard_lengths.resize(length + 1);
    data.wildcard_lengths[length] += is_added ? 1 : -1;
}

void record_pattern_change(table_data& data,
                           std::vector<index_change<pattern_entry>>& patterns,
                           route const& changed, bool is_added)
{
    std::string const pattern = pattern_of(changed);
    update_wildcard_count(data, pattern, is_added);
    patterns.push_back(
        {{hash_pattern(pattern), hash_name(changed.name)}, is_added});
}

void flush_routes(table_edit& edit)
{
    auto& table = edit.data.routes;
    std::vector<index_change<pattern_entry>> removed;
    std::vector<index_change<pattern_entry>> added;
    for (auto const& [index, changes] : group_by_shard(edit.routes, table))
    {
        std::vector<route> old;
        if (table[index])
            old = unpack_all(*table[index]);
        for (route const& previous : old)
        {
            if (changes.contains(previous.name))
                record_pattern_change(edit.data, removed, previous, false);
        }
        for (auto const& [name, entry] : changes)
        {
            if (entry->value)
                record_pattern_change(edit.data, added, *entry->value, true);
        }
        auto values = apply_changes(std::move(old), changes);
        std::sort(values.begin(), values.end(),
                  [](route const& left, route const& right)
                  { return in_block_order(left, right); });
        table[index] = std::make_shared<route_block const>(pack(values));
    }
    removed.insert(removed.end(), added.begin(), added.end());
    flush_index(edit.data.patterns, removed);
    edit.routes.clear();
}

/// Returns the new index of each old priority.
std::vector<priority_index> find_new_indices(std::span<priority const> before,
                                             std::span<priority const> after)
{
    std::vector<priority_index> result;
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        auto const found =
            std::find_if(after.begin(), after.end(),
                         [&](priority const& candidate)
                         { return candidate.name == before[i].name; });
        result.push_back(static_cast<priority_index>(
            found == after.end() ? removed_priority + i
                                 : found - after.begin()));
    }
    return result;
}

bool is_identity(std::span<priority_index const> new_indices)
{
    for (std::size_t i = 0; i < new_indices.size(); ++i)
    {
        if (new_indices[i] != i)
            return false;
    }
    return true;
}

void renumber_entries(table_data& data,
                      std::span<priority_index const> new_indices)
{
    for (auto& shard : data.routes)
    {
        if (!shard)
            continue;
        auto copy = std::make_shared<route_block>(*shard);
        for (route_entry& entry : copy->entries)
            entry.priority = new_indices[entry.priority];
        shard = std::move(copy);
    }
    for (auto& shard : data.services)
    {
        if (!shard)
            continue;
        auto copy = std::make_shared<service_block>(*shard);
        for (service& changed : *copy)
        {
            for (priority_share& share : changed.shares)
                share.priority = new_indices[share.priority];
        }
        shard = std::move(copy);
    }
}

} // namespace

void flush(table_edit& edit)
{
    flush_services(edit);
    flush_routes(edit);
    flush_accounts(edit);
}

void replace_priorities(table_edit& edit, std::vector<priority> sorted)
{
    auto const new_indices = find_new_indices(edit.data.priorities, sorted);
    if (!is_identity(new_indices))
        renumber_entries(edit.data, new_indices);
    edit.data.priorities = std::move(sorted);
}

} // namespace gooseberrycove::config
