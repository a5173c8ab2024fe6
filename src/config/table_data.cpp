#include "config/table_data.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <tuple>

namespace gooseberrycove::config
{

namespace
{

/// Makes the hash of a wildcard pattern differ from that of the exact path with
/// the same text.
constexpr std::uint64_t wildcard_salt = 0x9E3779B97F4A7C15;

std::uint64_t hash_wildcard(std::string_view prefix)
{
    return hash_name(prefix) ^ wildcard_salt;
}

std::string_view name_of(account_block const& accounts, std::size_t index)
{
    std::size_t const begin = accounts.entries[index].begin;
    std::size_t const end = index + 1 < accounts.entries.size()
                                ? accounts.entries[index + 1].begin
                                : accounts.text.size();
    return std::string_view(accounts.text).substr(begin, end - begin);
}

struct route_texts
{
    std::string_view name;
    std::string_view service;
    std::string_view method;
    std::string_view pattern;
    std::string_view split;
};

route_texts texts_of(route_block const& routes, route_entry const& entry)
{
    std::string_view remaining =
        std::string_view(routes.text).substr(entry.begin);
    auto const next_text = [&](std::size_t size)
    {
        std::string_view const text = remaining.substr(0, size);
        remaining.remove_prefix(size);
        return text;
    };
    route_texts texts;
    texts.name = next_text(entry.name_size);
    texts.service = next_text(entry.service_size);
    texts.method = next_text(entry.method_size);
    texts.pattern = next_text(entry.pattern_size);
    texts.split = next_text(entry.split_size);
    return texts;
}

/// `service=weight` for each part, separated by blanks; names have no blanks.
std::string pack_split(std::span<weighted_service const> parts)
{
    std::string text;
    for (weighted_service const& part : parts)
    {
        text += text.empty() ? "" : " ";
        fmt::format_to(std::back_inserter(text), "{}={}", part.service,
                       part.weight);
    }
    return text;
}

std::vector<split_part> unpack_split(std::string_view text)
{
    std::vector<split_part> parts;
    while (!text.empty())
    {
        std::string_view const item = text.substr(0, text.find(' '));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        std::size_t const equal = item.find('=');
        split_part part{item.substr(0, equal)};
        std::from_chars(item.data() + equal + 1, item.data() + item.size(),
                        part.weight);
        parts.push_back(part);
    }
    return parts;
}

/// Calls visit(block, entry) for each route whose name has this hash until it
/// returns true.
template <class Visit>
bool visit_routes(table_data const& data, std::uint64_t hash, Visit visit)
{
    auto const& shard = data.routes[shard_of(data.routes, hash)];
    if (!shard)
        return false;
    auto entry =
        std::lower_bound(shard->entries.begin(), shard->entries.end(), hash,
                         [](route_entry const& left, std::uint64_t right)
                         { return left.hash < right; });
    for (; entry != shard->entries.end() && entry->hash == hash; ++entry)
    {
        if (visit(*shard, *entry))
            return true;
    }
    return false;
}

/// Calls visit(block, entry) for each route whose pattern has this hash until
/// it returns true.
template <class Visit>
bool visit_pattern(table_data const& data, std::uint64_t hash, Visit visit)
{
    auto const& shard = data.patterns[shard_of(data.patterns, hash)];
    if (!shard)
        return false;
    auto entry =
        std::lower_bound(shard->begin(), shard->end(), pattern_entry{hash, 0});
    for (; entry != shard->end() && entry->pattern_hash == hash; ++entry)
    {
        if (visit_routes(data, entry->route_hash, visit))
            return true;
    }
    return false;
}

route_view view_of(route_texts const& texts, route_entry const& entry)
{
    return {texts.name,
            texts.service,
            entry.priority,
            entry.repeatable,
            std::chrono::milliseconds(entry.timeout_ms),
            unpack_split(texts.split),
            entry.attempts,
            entry.is_open};
}

/// Finds the route whose pattern is \p prefix, followed by `*` when
/// \p is_wildcard is set. \p hash is that of the pattern. An exact method takes
/// precedence over `*`.
std::optional<route_view> match_pattern(table_data const& data,
                                        std::uint64_t hash,
                                        std::string_view method,
                                        std::string_view prefix,
                                        bool is_wildcard)
{
    std::optional<route_view> found;
    visit_pattern(data, hash,
                  [&](route_block const& routes, route_entry const& entry)
                  {
                      route_texts const texts = texts_of(routes, entry);
                      std::string_view pattern = texts.pattern;
                      if (is_wildcard != pattern.ends_with('*'))
                          return false;
                      if (is_wildcard)
                          pattern.remove_suffix(1);
                      bool const is_exact = texts.method == method;
                      if (pattern != prefix ||
                          (!is_exact && texts.method != "*"))
                          return false;
                      found = view_of(texts, entry);
                      return is_exact;
                  });
    return found;
}

/// Finds the route for \p key, a host followed by a path. Wildcard patterns
/// that are shorter than the host belong to other hosts and are skipped.
std::optional<route_view> match_key(table_data const& data,
                                    std::string_view method,
                                    std::string_view key, std::size_t host_size)
{
    auto found = match_pattern(data, hash_name(key), method, key, false);
    auto const& lengths = data.wildcard_lengths;
    std::size_t length = std::min(key.size() + 1, lengths.size());
    while (!found && length-- > host_size)
    {
        if (lengths[length] == 0)
            continue;
        std::string_view const prefix = key.substr(0, length);
        found =
            match_pattern(data, hash_wildcard(prefix), method, prefix, true);
    }
    return found;
}

template <class Block, std::size_t Count, class Size>
std::size_t sum_bytes(shards<Block, Count> const& table, Size shard_bytes)
{
    std::size_t bytes = 0;
    for (auto const& shard : table)
    {
        if (shard)
            bytes += sizeof(Block) + shard_bytes(*shard);
    }
    return bytes;
}

} // namespace

tables::tables() : m_data(std::make_shared<table_data const>()) {}

tables::tables(std::shared_ptr<table_data const> data) : m_data(std::move(data))
{
}

std::uint64_t tables::version() const
{
    return m_data->version;
}

std::optional<route_view> tables::match(std::string_view method,
                                        std::string_view host,
                                        std::string_view path) const
{
    std::string key;
    for (char const c : host.substr(0, host.find(':')))
        key += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    std::size_t const host_size = key.size();
    key += path;
    auto found = match_key(*m_data, method, key, host_size);
    if (!found && host_size > 0)
        found = match_key(*m_data, method, path, 0);
    return found;
}

std::optional<account_view> tables::account(std::string_view name) const
{
    auto const& table = m_data->accounts;
    auto const& shard = table[shard_of(table, hash_name(name))];
    if (!shard)
        return std::nullopt;
    std::size_t first = 0;
    std::size_t count = shard->entries.size();
    while (count > 0)
    {
        std::size_t const half = count / 2;
        bool const is_less = name_of(*shard, first + half) < name;
        first += is_less ? half + 1 : 0;
        count = is_less ? count - half - 1 : half;
    }
    if (first == shard->entries.size() || name_of(*shard, first) != name)
        return std::nullopt;
    account_entry const& entry = shard->entries[first];
    return account_view{name_of(*shard, first), entry.hash, entry.rate,
                        entry.burst};
}

bool tables::has_accounts() const
{
    return std::ranges::any_of(m_data->accounts, [](auto const& shard)
                               { return shard && !shard->entries.empty(); });
}

service const* tables::find_service(std::string_view name) const
{
    return config::find_service(*m_data, name);
}

std::span<priority const> tables::priorities() const
{
    return m_data->priorities;
}

account unpack(account_block const& accounts, std::size_t index)
{
    account_entry const& entry = accounts.entries[index];
    return {std::string(name_of(accounts, index)), entry.hash, entry.rate,
            entry.burst};
}

route unpack(route_block const& routes, std::size_t index)
{
    route_entry const& entry = routes.entries[index];
    route_texts const texts = texts_of(routes, entry);
    route result;
    result.name = texts.name;
    result.service = texts.service;
    result.method = texts.method;
    result.host = texts.pattern.substr(0, entry.host_size);
    result.path = texts.pattern.substr(entry.host_size);
    result.priority = entry.priority;
    result.repeatable = entry.repeatable;
    result.timeout_ms = entry.timeout_ms;
    result.attempts = entry.attempts;
    result.is_open = entry.is_open;
    for (split_part const& part : unpack_split(texts.split))
        result.split.push_back({std::string(part.service), part.weight});
    return result;
}

account_block pack(std::vector<account> const& values)
{
    account_block result;
    std::size_t size = 0;
    for (account const& value : values)
        size += value.name.size();
    result.entries.reserve(values.size());
    result.text.reserve(size);
    for (account const& value : values)
    {
        result.entries.push_back(
            {static_cast<std::uint32_t>(result.text.size()), value.hash,
             value.rate, value.burst});
        result.text += value.name;
    }
    return result;
}

route_block pack(std::vector<route> const& values)
{
    route_block result;
    std::size_t size = 0;
    for (route const& value : values)
        size += value.name.size() + value.service.size() + value.method.size() +
                value.host.size() + value.path.size() +
                pack_split(value.split).size();
    result.entries.reserve(values.size());
    result.text.reserve(size);
    for (route const& value : values)
    {
        route_entry entry;
        entry.hash = hash_name(value.name);
        entry.begin = static_cast<std::uint32_t>(result.text.size());
        entry.timeout_ms = value.timeout_ms;
        std::string const pattern = pattern_of(value);
        std::string const split = pack_split(value.split);
        entry.pattern_size = static_cast<std::uint16_t>(pattern.size());
        entry.split_size = static_cast<std::uint16_t>(split.size());
        entry.host_size = static_cast<std::uint8_t>(value.host.size());
        entry.attempts = static_cast<std::uint8_t>(value.attempts);
        entry.is_open = value.is_open;
        entry.name_size = static_cast<std::uint8_t>(value.name.size());
        entry.service_size = static_cast<std::uint8_t>(value.service.size());
        entry.method_size = static_cast<std::uint8_t>(value.method.size());
        entry.priority = value.priority;
        entry.repeatable = value.repeatable;
        result.entries.push_back(entry);
        result.text += value.name;
        result.text += value.service;
        result.text += value.method;
        result.text += pattern;
        result.text += split;
    }
    return result;
}

bool in_block_order(account const& left, account const& right)
{
    return left.name < right.name;
}

bool in_block_order(route const& left, route const& right)
{
    return std::make_tuple(hash_name(left.name), std::string_view(left.name)) <
           std::make_tuple(hash_name(right.name), std::string_view(right.name));
}

std::string pattern_of(route const& source)
{
    return source.host + source.path;
}

std::uint64_t hash_pattern(std::string_view pattern)
{
    if (!pattern.ends_with('*'))
        return hash_name(pattern);
    pattern.remove_suffix(1);
    return hash_wildcard(pattern);
}

std::optional<account> find_account(table_data const& data,
                                    std::string_view name)
{
    // The view does not own data, which outlives it.
    tables const view(
        std::shared_ptr<table_data const>(std::shared_ptr<void>(), &data));
    auto const found = view.account(name);
    if (!found)
        return std::nullopt;
    return account{std::string(found->name), found->hash, found->rate,
                   found->burst};
}

std::optional<route> find_route(table_data const& data, std::string_view name)
{
    std::optional<route> found;
    visit_routes(data, hash_name(name),
                 [&](route_block const& routes, route_entry const& entry)
                 {
                     if (texts_of(routes, entry).name != name)
                         return false;
                     found =
                         unpack(routes, static_cast<std::size_t>(
                                            &entry - routes.entries.data()));
                     return true;
                 });
    return found;
}

service const* find_service(table_data const& data, std::string_view name)
{
    auto const& shard = data.services[shard_of(data.services, hash_name(name))];
    if (!shard)
        return nullptr;
    auto const found =
        std::lower_bound(shard->begin(), shard->end(), name,
                         [](service const& left, std::string_view right)
                         { return left.name < right; });
    return found != shard->end() && found->name == name ? &*found : nullptr;
}

std::string find_conflicting_route(table_data const& data,
                                   route const& candidate)
{
    std::string conflicting;
    std::string const pattern = pattern_of(candidate);
    visit_pattern(data, hash_pattern(pattern),
                  [&](route_block const& routes, route_entry const& entry)
                  {
                      route_texts const texts = texts_of(routes, entry);
                      bool const is_conflicting =
                          texts.pattern == pattern &&
                          texts.method == candidate.method &&
                          texts.name != candidate.name;
                      if (is_conflicting)
                          conflicting = texts.name;
                      return is_conflicting;
                  });
    return conflicting;
}

std::size_t memory_bytes(table_data const& data)
{
    auto const packed = [](auto const& shard)
    {
        return shard.entries.capacity() * sizeof(shard.entries[0]) +
               shard.text.capacity();
    };
    auto const plain = [](auto const& shard)
    { return shard.capacity() * sizeof(shard[0]); };
    return sizeof(data) + sum_bytes(data.accounts, packed) +
           sum_bytes(data.routes, packed) + sum_bytes(data.patterns, plain) +
           sum_bytes(data.services, plain);
}

} // namespace gooseberrycove::config
