#ifndef GOOSEBERRYCOVE_CONFIG_TABLE_DATA_HPP
#define GOOSEBERRYCOVE_CONFIG_TABLE_DATA_HPP

#include <gooseberrycove/config.hpp>
#include <gooseberrycove/metrics.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace gooseberrycove::config
{

/// Shards per table. At the target of 540,000 accounts and 76,000 routes a
/// patch of one entry copies about 25 KB.
inline constexpr std::size_t account_shards = 1024;
inline constexpr std::size_t route_shards = 256;
inline constexpr std::size_t service_shards = 64;

/// Longest path of a route in bytes.
inline constexpr std::size_t max_path_size = 1024;

/// Longest host of a route in bytes; the limit of DNS names.
inline constexpr std::size_t max_host_size = 253;

/// Maximum number of parts of a split route. Their text must fit into
/// route_entry::split_size.
inline constexpr std::size_t max_split_parts = 128;

/// Marks a priority that the patch being applied removes: this plus its former
/// index. Never part of a version in force.
inline constexpr priority_index removed_priority = 128;

/// Maximum number of keys of an account. The operator's document has no limit;
/// a row of 64 KB holds fewer keys than this.
inline constexpr std::size_t max_account_keys = 4096;

struct account
{
    std::string name;
    key_hash hash{};
    float rate = 0;
    float burst = 0;
    /// Hashes of the keys after the first.
    std::vector<key_hash> further_hashes = {};
    std::optional<int> tier = {};
};

struct weighted_service
{
    std::string service;
    double weight = 1;
};

struct route
{
    std::string name;
    /// The service of the first part when the route is split.
    std::string service;
    std::string method;
    std::string path;
    priority_index priority = 0;
    bool repeatable = true;
    std::uint32_t timeout_ms = 0;
    /// Lower-case host without port; empty when the route matches every host.
    std::string host = {};
    /// Ordered by service; empty without a split.
    std::vector<weighted_service> split = {};
    std::uint32_t attempts = default_attempts;
    bool is_open = false;
    bool is_unclaimed = false;
};

/// account_entry::tier of an account without a tier.
inline constexpr std::int16_t no_tier = -1;

/// The name starts at `begin` in the block's text; the hashes of the keys after
/// the first follow it up to where the next entry begins.
struct account_entry
{
    std::uint32_t begin = 0;
    key_hash hash{};
    float rate = 0;
    float burst = 0;
    std::uint16_t name_size = 0;
    std::int16_t tier = no_tier;
};

/// The name, service, method, pattern and split follow each other from `begin`.
/// The pattern is the host followed by the path.
struct route_entry
{
    /// hash_name() of the name.
    std::uint64_t hash = 0;
    std::uint32_t begin = 0;
    std::uint32_t timeout_ms = 0;
    std::uint16_t pattern_size = 0;
    std::uint16_t split_size = 0;
    std::uint8_t name_size = 0;
    std::uint8_t service_size = 0;
    std::uint8_t method_size = 0;
    std::uint8_t host_size = 0;
    std::uint8_t attempts = default_attempts;
    priority_index priority = 0;
    bool repeatable = true;
    bool is_open = false;
    bool is_unclaimed = false;
};

/// One shard: entries of fixed size and their texts. Accounts are ordered by
/// name, routes by hash and name.
template <class Entry>
struct block
{
    std::vector<Entry> entries;
    std::string text;
};

using account_block = block<account_entry>;
using route_block = block<route_entry>;
/// Ordered by name.
using service_block = std::vector<service>;

/// Maps the hash of a route's pattern or of an account's key to the hash of the
/// entry's name.
template <class Hash>
struct index_entry
{
    Hash hash = 0;
    Hash name_hash = 0;

    bool operator==(index_entry const&) const = default;
    bool operator<(index_entry const& other) const
    {
        return std::tie(hash, name_hash) <
               std::tie(other.hash, other.name_hash);
    }
};
using pattern_entry = index_entry<std::uint64_t>;
using pattern_block = std::vector<pattern_entry>;
/// The lower halves of the hashes, which saves 4 MB at the target of accounts.
using key_entry = index_entry<std::uint32_t>;
using key_block = std::vector<key_entry>;

template <class Block, std::size_t Count>
using shards = std::array<std::shared_ptr<Block const>, Count>;

/// All entries of one version. Blocks are shared between versions; a null
/// pointer is an empty block.
struct table_data
{
    std::uint64_t version = 0;
    std::vector<gooseberrycove::config::priority> priorities;
    shards<service_block, service_shards> services;
    shards<account_block, account_shards> accounts;
    shards<route_block, route_shards> routes;
    shards<pattern_block, route_shards> patterns;
    shards<key_block, account_shards> account_keys;
    /// Number of routes whose pattern ends in `*`, by the length of the text
    /// before it. A lookup skips lengths without a route.
    std::vector<std::uint32_t> wildcard_lengths;
};

config_counts count_entries(table_data const& data);

account unpack(account_block const& accounts, std::size_t index);
route unpack(route_block const& routes, std::size_t index);

/// \param values  in the order of the block, see in_block_order()
account_block pack(std::vector<account> const& values);
route_block pack(std::vector<route> const& values);

bool in_block_order(account const& left, account const& right);
bool in_block_order(route const& left, route const& right);

template <class Block, std::size_t Count>
std::size_t shard_of(shards<Block, Count> const&, std::uint64_t hash)
{
    return hash % Count;
}

/// The host followed by the path. A pattern without a host starts with `/`.
std::string pattern_of(route const& source);

/// Hash of a pattern as used in pattern_entry.
std::uint64_t hash_pattern(std::string_view pattern);

/// Hash of a key as used in key_entry.
std::uint32_t hash_of_key(key_hash const& key);

/// Calls visit(key_hash const&) for each key of an account.
template <class Visit>
void for_each_key(account const& source, Visit visit)
{
    visit(source.hash);
    for (key_hash const& key : source.further_hashes)
        visit(key);
}

/// Name of an account other than \p candidate that holds one of its keys; empty
/// when there is none.
std::string find_account_with_same_key(table_data const& data,
                                       account const& candidate);

std::optional<account> find_account(table_data const& data,
                                    std::string_view name);
std::optional<route> find_route(table_data const& data, std::string_view name);
service const* find_service(table_data const& data, std::string_view name);

/// Name of another route with the method, host and path of \p candidate; empty
/// when there is none.
std::string find_conflicting_route(table_data const& data,
                                   route const& candidate);

/// Heap bytes held by the blocks.
std::size_t memory_bytes(table_data const& data);

} // namespace gooseberrycove::config

#endif
