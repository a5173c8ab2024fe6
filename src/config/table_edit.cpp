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

/// Changes ordered by shard; of two for one name the last one is kept.
template <class Value, class Block, std::size_t Count>
std::map<std::size_t, std::map<std::string_view, change<Value> const*>>
by_shard(change_list<Value> const& changes, shards<Block, Count> const& all)
{
    std::map<std::size_t, std::map<std::string_view, change<Value> const*>>
        result;
    for (change<Value> const& one : changes)
        result[shard_of(all, hash_name(one.name))][one.name] = &one;
    return result;
}

std::vector<account> unpack_all(account_block const& from)
{
    std::vector<account> values;
    for (std::size_t i = 0; i < from.entries.size(); ++i)
        values.push_back(unpack(from, i));
    return values;
}

std::vector<route> unpack_all(route_block const& from)
{
    std::vector<route> values;
    for (std::size_t i = 0; i < from.entries.size(); ++i)
        values.push_back(unpack(from, i));
    return values;
}

std::vector<service> unpack_all(service_block const& from)
{
    return from;
}

/// Old values without the changed ones, then the new values.
template <class Value>
std::vector<Value>
merge(std::vector<Value> values,
      std::map<std::string_view, change<Value> const*> const& changes)
{
    std::erase_if(values, [&](Value const& value)
                  { return changes.contains(value.name); });
    for (auto const& [name, one] : changes)
    {
        if (one->value)
            values.push_back(*one->value);
    }
    return values;
}

void flush_accounts(table_edit& edit)
{
    auto& all = edit.data.accounts;
    for (auto const& [index, changes] : by_shard(edit.accounts, all))
    {
        std::vector<account> old;
        if (all[index])
            old = unpack_all(*all[index]);
        auto values = merge(std::move(old), changes);
        std::sort(values.begin(), values.end(),
                  [](account const& left, account const& right)
                  { return in_block_order(left, right); });
        all[index] = std::make_shared<account_block const>(pack(values));
    }
    edit.accounts.clear();
}

void flush_services(table_edit& edit)
{
    auto& all = edit.data.services;
    for (auto const& [index, changes] : by_shard(edit.services, all))
    {
        std::vector<service> old;
        if (all[index])
            old = unpack_all(*all[index]);
        auto values = merge(std::move(old), changes);
        std::sort(values.begin(), values.end(),
                  [](service const& left, service const& right)
                  { return left.name < right.name; });
        all[index] = std::make_shared<service_block const>(std::move(values));
    }
    edit.services.clear();
}

struct pattern_change
{
    pattern_entry entry;
    bool add = true;
};

void count_wildcard(table_data& data, std::string_view pattern, bool add)
{
    if (!pattern.ends_with('*'))
        return;
    std::size_t const length = pattern.size() - 1;
    if (data.wildcard_lengths.size() <= length)
        data.wildcard_lengths.resize(length + 1);
    data.wildcard_lengths[length] += add ? 1 : -1;
}

void flush_patterns(table_data& data, std::vector<pattern_change> const& all)
{
    std::map<std::size_t, std::vector<pattern_change>> shard_changes;
    for (pattern_change const& one : all)
        shard_changes[shard_of(data.patterns, one.entry.pattern)].push_back(
            one);
    for (auto const& [index, changes] : shard_changes)
    {
        pattern_block values;
        if (data.patterns[index])
            values = *data.patterns[index];
        for (pattern_change const& one : changes)
        {
            if (one.add)
                values.push_back(one.entry);
            else
                values.erase(
                    std::find(values.begin(), values.end(), one.entry));
        }
        std::sort(values.begin(), values.end());
        values.shrink_to_fit();
        data.patterns[index] =
            std::make_shared<pattern_block const>(std::move(values));
    }
}

void note_pattern(table_data& data, std::vector<pattern_change>& patterns,
                  route const& one, bool add)
{
    std::string const pattern = pattern_of(one);
    count_wildcard(data, pattern, add);
    patterns.push_back({{pattern_hash(pattern), hash_name(one.name)}, add});
}

void flush_routes(table_edit& edit)
{
    auto& all = edit.data.routes;
    std::vector<pattern_change> removed;
    std::vector<pattern_change> added;
    for (auto const& [index, changes] : by_shard(edit.routes, all))
    {
        std::vector<route> old;
        if (all[index])
            old = unpack_all(*all[index]);
        for (route const& one : old)
        {
            if (changes.contains(one.name))
                note_pattern(edit.data, removed, one, false);
        }
        for (auto const& [name, one] : changes)
        {
            if (one->value)
                note_pattern(edit.data, added, *one->value, true);
        }
        auto values = merge(std::move(old), changes);
        std::sort(values.begin(), values.end(),
                  [](route const& left, route const& right)
                  { return in_block_order(left, right); });
        all[index] = std::make_shared<route_block const>(pack(values));
    }
    removed.insert(removed.end(), added.begin(), added.end());
    flush_patterns(edit.data, removed);
    edit.routes.clear();
}

/// New index of each old one.
std::vector<priority_index> renumber(std::span<priority const> before,
                                     std::span<priority const> after)
{
    std::vector<priority_index> result;
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        auto const found = std::find_if(after.begin(), after.end(),
                                        [&](priority const& one)
                                        { return one.name == before[i].name; });
        result.push_back(static_cast<priority_index>(
            found == after.end() ? removed_priority + i
                                 : found - after.begin()));
    }
    return result;
}

bool is_identity(std::span<priority_index const> numbers)
{
    for (std::size_t i = 0; i < numbers.size(); ++i)
    {
        if (numbers[i] != i)
            return false;
    }
    return true;
}

void renumber_entries(table_data& data, std::span<priority_index const> numbers)
{
    for (auto& shard : data.routes)
    {
        if (!shard)
            continue;
        auto copy = std::make_shared<route_block>(*shard);
        for (route_entry& entry : copy->entries)
            entry.priority = numbers[entry.priority];
        shard = std::move(copy);
    }
    for (auto& shard : data.services)
    {
        if (!shard)
            continue;
        auto copy = std::make_shared<service_block>(*shard);
        for (service& one : *copy)
        {
            for (priority_share& share : one.shares)
                share.priority = numbers[share.priority];
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
    auto const numbers = renumber(edit.data.priorities, sorted);
    if (!is_identity(numbers))
        renumber_entries(edit.data, numbers);
    edit.data.priorities = std::move(sorted);
}

} // namespace gooseberrycove::config
