#ifndef GOOSEBERRYCOVE_CONFIG_HPP
#define GOOSEBERRYCOVE_CONFIG_HPP

#include <gooseberrycove/error.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/store.hpp>
#include <gooseberrycove/types.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gooseberrycove::config
{

struct priority
{
    std::string name;
    int rank = 0;
    duration target{0};
    double worth = 1;
    /// Groups priorities that differ in their target only; an account that
    /// names a tier gets its priority from it.
    int tier = 0;
};

/// Share of a service's capacity declared for one priority, 0 to 1.
struct priority_share
{
    priority_index priority = 0;
    double min_share = 0;
};

struct service
{
    std::string name;
    /// Slots of healthy capacity that ejection must leave in use.
    std::uint32_t floor_slots = 0;
    /// Slots of each server that only the most urgent priority may use.
    std::uint32_t reserved_slots = 1;
    /// Share of the slots that ejection must leave in use, 0 to 1. The larger
    /// of this and floor_slots applies.
    double floor_share = 0;
    /// Time after an announcement in which latency is not used as evidence.
    duration warmup{0};
    /// Retries that the service accepts in any 10 s: a share of its requests
    /// plus a constant number (slack).
    struct retry_allowance
    {
        double share = 0;
        double slack = 0;
    };
    /// Enforced by the homes. When absent, each daemon limits its retries to
    /// a budget of its own.
    std::optional<retry_allowance> retry_limit;
    /// Path of the probe endpoint of the service's backend servers.
    std::string probe_path = "/healthz";
    /// Priorities that the service accepts, with their shares.
    std::vector<priority_share> shares;
};

/// One part of a route whose requests are split between services.
struct split_part
{
    std::string_view service;
    /// In proportion to the sum of the weights.
    double weight = 1;
};

/// Default of route_view::attempts.
inline constexpr std::uint32_t default_attempts = 3;

/// A route found by tables::match(). The views are valid as long as the tables.
struct route_view
{
    std::string_view name;
    /// Service of the first part when the route is split.
    std::string_view service;
    priority_index priority = 0;
    bool repeatable = true;
    duration timeout{0};
    /// Parts ordered by service; empty when the route is not split.
    std::vector<split_part> split = {};
    /// Limit of the backend servers that one request may reach.
    std::uint32_t attempts = default_attempts;
    /// Callers need no account.
    bool is_open = false;
    /// Non-repeatable requests need no idempotency key and no claim. Each is
    /// sent to a backend server at most once. True for every open route.
    bool is_unclaimed = false;
};

using key_hash = std::array<std::uint8_t, 16>;

/// First 16 bytes of SHA-256 of the key or secret of an account.
key_hash hash_secret(std::string_view secret);

/// 32 lower-case hexadecimal digits.
std::string to_string(key_hash const& hash);

/// An account found by tables::account().
struct account_view
{
    std::string_view name;
    /// First 16 bytes of SHA-256 of the secret: of the first one, or of the one
    /// by which the account was found.
    key_hash hash{};
    /// Requests per second and bucket size; 0 means unlimited.
    float rate = 0;
    float burst = 0;
    /// See priority::tier; its priority replaces that of the route.
    std::optional<int> tier = std::nullopt;
    /// Hashes of the secrets after the first, without separators.
    std::string_view further_hashes = {};
};

/// Whether \p hash is one of the account's. Takes the same time for every hash
/// that is not.
bool has_key(account_view const& found, key_hash const& hash);

struct table_data;

/// One version of the configuration, immutable and shared between threads.
class tables
{
public:
    tables();
    explicit tables(std::shared_ptr<table_data const> data);

    std::uint64_t version() const;

    /// Finds the route of a request. Routes of the host precede routes without
    /// a host. Among them the longest matching pattern wins; a pattern that
    /// ends in `*` matches every path with that prefix, and method `*` matches
    /// every method.
    ///
    /// \param host  value of the Host header; its case and port are ignored
    std::optional<route_view> match(std::string_view method,
                                    std::string_view host,
                                    std::string_view path) const;

    std::optional<account_view> account(std::string_view name) const;

    /// Finds the account that holds a key; the first by name when several do.
    std::optional<account_view> account_by_key(key_hash const& hash) const;

    /// The priority of an account's request on a route: in the account's tier
    /// the one with the target of the route's priority, or else with the
    /// nearest target. The route's own when no priority is in the tier.
    priority_index priority_for(route_view const& route,
                                account_view const& account) const;

    bool has_accounts() const;

    /// Whether any account has a rate.
    bool has_limits() const;

    /// Returns nullptr for an unknown service.
    service const* find_service(std::string_view name) const;

    /// Priorities ordered by rank; a priority_index is a position in them.
    std::span<priority const> priorities() const;

    table_data const& data() const { return *m_data; }

private:
    std::shared_ptr<table_data const> m_data;
};

using tables_ptr = std::shared_ptr<tables const>;

/// A committed patch, as stored and as sent between daemons.
struct delta
{
    std::uint64_t version = 0;
    std::string patch_id;
    std::string author;
    /// RFC 7386 JSON Merge Patch.
    std::string patch;
};

/// Notifies the other duties of a new version in force, and of a change of
/// is_current.
struct in_force
{
    tables_ptr current;
    /// No newer version is known, and the store or a peer has confirmed this
    /// one lately. Otherwise an unknown key may be one of a newer version.
    bool is_current = true;
};

/// One error in a patch.
struct patch_error
{
    /// JSON pointer into the patch.
    std::string path;
    std::string detail;
};

/// Result of a patch_request.
struct patch_result
{
    /// none, stale_version, invalid_patch, store_unavailable or overloaded.
    /// internal when the commit was not confirmed in time, so that its outcome
    /// is unknown.
    error_kind kind = error_kind::none;
    /// Version in force after the patch, or the current version when the base
    /// is stale.
    std::uint64_t version = 0;
    std::vector<patch_error> errors;
    /// When the base is stale, the patches committed after it, at most 100.
    std::vector<delta> patches_since_base;
    std::string detail;
};

struct patch_request
{
    std::uint64_t base_version = 0;
    std::string patch;
    std::string patch_id;
    std::string author;
    std::function<void(patch_result&&)> deliver;
};

/// Requests the whole document in force as JSON text.
struct document_request
{
    std::function<void(std::uint64_t version, std::string&& document)> deliver;
};

struct history_request
{
    std::uint64_t since_version = 0;
    std::function<void(std::vector<delta>&&)> deliver;
};

/// Version that a peer has in force, from a ping or a push.
struct peer_version
{
    std::string address;
    std::uint64_t version = 0;
};

/// Addresses of the live peers, to which new deltas are pushed. Sent when they
/// change.
struct live_peers
{
    std::vector<std::string> addresses;
};

/// A peer's request for the deltas after a version.
struct pull
{
    std::string sender_address;
    std::uint64_t after_version = 0;
};

/// Deltas in order of version. When `snapshot` is set, it is the document at
/// snapshot_version and the deltas follow it.
struct deltas
{
    std::string sender_address;
    std::uint64_t snapshot_version = 0;
    std::string snapshot;
    std::vector<delta> entries;
};

/// Messages that the config duty handles.
using message = std::variant<std::monostate, patch_request, document_request,
                             history_request, peer_version, live_peers, pull,
                             deltas, store::reply>;
using inbox = ring<message>;

} // namespace gooseberrycove::config

#endif
