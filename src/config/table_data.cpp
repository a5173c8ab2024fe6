#include "config/table_data.hpp"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <charconv>
#include <cstring>
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

/// The name and the further hashes of an account.
std::string_view text_of(account_block const& accounts, std::size_t index)
{
    std::size_t const begin = accounts.entries[index].begin;
    std::size_t const end = index + 1 < accounts.entries.size()
                                ? accounts.entries[index + 1].begin
                                : accounts.text.size();
    return std::string_view(accounts.text).substr(begin, end - begin);
}

std::string_view name_of(account_block const& accounts, std::size_t index)
{
    return text_of(accounts, index)
        .substr(0, accounts.entries[index].name_size);
}

key_hash read_hash(std::string_view bytes)
{
    key_hash hash{};
    std::copy_n(bytes.begin(), hash.size(), hash.begin());
    return hash;
}

account_view view_of(account_block const& accounts, std::size_t index)
{
    account_entry const& entry = accounts.entries[index];
    std::string_view const text = text_of(accounts, index);
    return {text.substr(0, entry.name_size),
            entry.hash,
            entry.rate,
            entry.burst,
            entry.tier == no_tier ? std::nullopt
                                  : std::optional<int>(entry.tier),
            text.substr(entry.name_size)};
}

/// Calls visit(account_view const&) for each account that holds the key until
/// it returns true.
template <class Visit>
void visit_key(table_data const& data, key_hash const& key, Visit visit)
{
    std::uint32_t const hash = hash_of_key(key);
    auto const& shard = data.account_keys[shard_of(data.account_keys, hash)];
    if (!shard)
        return;
    auto entry =
        std::lower_bound(shard->begin(), shard->end(), key_entry{hash, 0});
    for (; entry != shard->end() && entry->hash == hash; ++entry)
    {
        auto const& accounts =
            data.accounts[shard_of(data.accounts, entry->name_hash)];
        for (std::size_t i = 0; accounts && i < accounts->entries.size(); ++i)
        {
            account_view const found = view_of(*accounts, i);
            if (has_key(found, key) && visit(found))
                return;
        }
    }
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
    for (; entry != shard->end() && entry->hash == hash; ++entry)
    {
        if (visit_routes(data, entry->name_hash, visit))
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
            entry.is_open,
            entry.is_open || entry.is_unclaimed};
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

key_hash hash_secret(std::string_view secret)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(secret.data()), secret.size(),
           digest.data());
    key_hash hash{};
    std::copy_n(digest.begin(), hash.size(), hash.begin());
    return hash;
}

std::string to_string(key_hash const& hash)
{
    return fmt::format("{:02x}", fmt::join(hash, ""));
}

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
    return view_of(*shard, first);
}

std::optional<account_view> tables::account_by_key(key_hash const& hash) const
{
    std::optional<account_view> first;
    visit_key(*m_data, hash,
              [&](account_view const& found)
              {
                  if (!first || found.name < first->name)
                      first = found;
                  return false;
              });
    if (first)
        first->hash = hash;
    return first;
}

priority_index tables::priority_for(route_view const& route,
                                    account_view const& account) const
{
    std::vector<priority> const& all = m_data->priorities;
    if (!account.tier || route.priority >= all.size())
        return route.priority;
    duration const target = all[route.priority].target;
    std::optional<priority_index> nearest;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        if (all[i].tier != *account.tier)
            continue;
        auto const distance = [&](std::size_t index)
        { return std::chrono::abs(all[index].target - target); };
        if (!nearest || distance(i) < distance(*nearest))
            nearest = static_cast<priority_index>(i);
    }
    return nearest.value_or(route.priority);
}

bool has_key(account_view const& found, key_hash const& hash)
{
    bool is_held =
        CRYPTO_memcmp(found.hash.data(), hash.data(), hash.size()) == 0;
    for (std::size_t at = 0; at + hash.size() <= found.further_hashes.size();
         at += hash.size())
        is_held |= CRYPTO_memcmp(found.further_hashes.data() + at, hash.data(),
                                 hash.size()) == 0;
    return is_held;
}

bool tables::has_accounts() const
{
    return std::ranges::any_of(m_data->accounts, [](auto const& shard)
                               { return shard && !shard->entries.empty(); });
}

bool tables::has_limits() const
{
    return std::ranges::any_of(
        m_data->accounts,
        [](auto const& shard)
        {
            return shard && std::ranges::any_of(shard->entries,
                                                [](account_entry const& entry)
                                                { return entry.rate > 0; });
        });
}

service const* tables::find_service(std::string_view name) const
{
    return config::find_service(*m_data, name);
}

std::span<priority const> tables::priorities() const
{
    return m_data->priorities;
}

namespace
{

account unpack(account_view const& view)
{
    account result{std::string(view.name), view.hash, view.rate, view.burst};
    result.tier = view.tier;
    for (std::string_view rest = view.further_hashes; !rest.empty();
         rest.remove_prefix(view.hash.size()))
        result.further_hashes.push_back(read_hash(rest));
    return result;
}

} // namespace

account unpack(account_block const& accounts, std::size_t index)
{
    return unpack(view_of(accounts, index));
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
    result.is_unclaimed = entry.is_unclaimed;
    for (split_part const& part : unpack_split(texts.split))
        result.split.push_back({std::string(part.service), part.weight});
    return result;
}

config_counts count_entries(table_data const& data)
{
    config_counts counts;
    for (auto const& shard : data.services)
        counts.services += shard ? shard->size() : 0;
    for (auto const& shard : data.accounts)
        counts.accounts += shard ? shard->entries.size() : 0;
    for (auto const& shard : data.routes)
    {
        if (!shard)
            continue;
        for (route_entry const& entry : shard->entries)
        {
            bool const is_refusing =
                entry.service_size == 0 && entry.split_size == 0;
            ++counts.routes;
            counts.refusing_routes += is_refusing ? 1 : 0;
            counts.open_routes += entry.is_open && !is_refusing ? 1 : 0;
        }
    }
    return counts;
}

account_block pack(std::vector<account> const& values)
{
    account_block result;
    std::size_t size = 0;
    for (account const& value : values)
        size +=
            value.name.size() + value.further_hashes.size() * value.hash.size();
    result.entries.reserve(values.size());
    result.text.reserve(size);
    for (account const& value : values)
    {
        result.entries.push_back(
            {static_cast<std::uint32_t>(result.text.size()), value.hash,
             value.rate, value.burst,
             static_cast<std::uint16_t>(value.name.size()),
             static_cast<std::int16_t>(value.tier.value_or(no_tier))});
        result.text += value.name;
        for (key_hash const& hash : value.further_hashes)
            result.text.append(hash.begin(), hash.end());
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
        entry.is_unclaimed = value.is_unclaimed;
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
    return unpack(*found);
}

std::uint32_t hash_of_key(key_hash const& key)
{
    std::uint32_t hash = 0;
    std::memcpy(&hash, key.data(), sizeof(hash));
    return hash;
}

std::string find_account_with_same_key(table_data const& data,
                                       account const& candidate)
{
    std::string other;
    for_each_key(candidate,
                 [&](key_hash const& key)
                 {
                     visit_key(data, key,
                               [&](account_view const& found)
                               {
                                   if (found.name != candidate.name)
                                       other = found.name;
                                   return !other.empty();
                               });
                 });
    return other;
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
           sum_bytes(data.account_keys, plain) +
           sum_bytes(data.services, plain);
}

} // namespace gooseberrycove::config
