#include "config/entry_json.hpp"

#include <gooseberrycove/header.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <initializer_list>

namespace gooseberrycove::config
{

namespace
{

using nlohmann::json;

/// One hour; a longer time most likely has a wrong unit and is refused.
constexpr double max_time_ms = 3'600'000;

/// Fits into account_entry::tier.
constexpr double max_tier = 1000;

/// Allows weights in parts per billion, whose sum is still exact.
constexpr double max_split_weight = 1e9;

/// An entry being read.
struct entry_reader
{
    json const& value;
    std::string_view path;
    error_list& errors;

    void fail(std::string_view key, std::string detail)
    {
        errors.push_back({pointer_to(path, key), std::move(detail)});
    }

    /// Returns nullptr for an absent field; adds an error when it is required.
    json const* find(std::string_view key, bool required)
    {
        auto const found = value.find(key);
        if (found != value.end())
            return &*found;
        if (required)
            fail(key, "required, missing");
        return nullptr;
    }
};

/// Adds an error for each field that is not in \p allowed. Returns false, with
/// an error, when the entry is not an object.
bool check_fields(entry_reader& in,
                  std::initializer_list<std::string_view> allowed)
{
    if (!in.value.is_object())
    {
        in.errors.push_back({std::string(in.path), "must be an object"});
        return false;
    }
    for (auto const& [key, value] : in.value.items())
    {
        if (std::find(allowed.begin(), allowed.end(), key) == allowed.end())
            in.fail(key, fmt::format("unknown, allowed: {}",
                                     fmt::join(allowed, " ")));
    }
    return true;
}

struct number_range
{
    double minimum = 0;
    double maximum = 0;
    bool is_integer = false;
};

/// Leaves \p value as it is when an optional field is absent.
template <class Number>
void read_number(entry_reader& in, std::string_view key, number_range allowed,
                 bool required, Number& value)
{
    json const* const found = in.find(key, required);
    if (found == nullptr)
        return;
    double const number = found->is_number() ? found->get<double>() : NAN;
    bool const fits = number >= allowed.minimum && number <= allowed.maximum &&
                      (!allowed.is_integer || number == std::floor(number));
    if (fits)
        value = static_cast<Number>(number);
    else
        in.fail(key, fmt::format("allowed: {} from {} to {}",
                                 allowed.is_integer ? "an integer" : "a number",
                                 allowed.minimum, allowed.maximum));
}

void read_time(entry_reader& in, std::string_view key, double minimum,
               bool required, duration& value)
{
    std::int64_t ms = value.count() / 1000;
    read_number(in, key, {minimum, max_time_ms, true}, required, ms);
    value = std::chrono::milliseconds(ms);
}

std::string read_text(entry_reader& in, std::string_view key,
                      bool required = true)
{
    json const* const found = in.find(key, required);
    if (found == nullptr)
        return {};
    if (!found->is_string())
    {
        in.fail(key, "must be a string");
        return {};
    }
    return found->get<std::string>();
}

/// Returns the index of the priority, or adds an error and returns 0.
priority_index find_priority(entry_reader& in, std::string_view key,
                             std::string_view name,
                             std::span<priority const> priorities)
{
    for (std::size_t i = 0; i < priorities.size(); ++i)
    {
        if (priorities[i].name == name)
            return static_cast<priority_index>(i);
    }
    in.fail(key, fmt::format("no priority named '{}'", name));
    return 0;
}

/// A request target, which may have a query.
bool is_target(std::string_view target)
{
    return target.starts_with('/') && target.size() <= max_path_size &&
           std::all_of(target.begin(), target.end(),
                       [](unsigned char c) { return c > 0x20 && c < 0x7F; });
}

bool is_path(std::string_view path)
{
    std::size_t const star = path.find('*');
    return is_target(path) && path.find('?') == path.npos &&
           (star == path.npos || star + 1 == path.size());
}

/// A lower-case DNS name or IPv4 address without port.
bool is_host(std::string_view host)
{
    return !host.empty() && host.size() <= max_host_size &&
           std::all_of(host.begin(), host.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= '0' && c <= '9') || c == '.' ||
                                  c == '-' || c == '_';
                       });
}

bool is_method(std::string_view method)
{
    if (method == "*")
        return true;
    return !method.empty() && method.size() <= max_method_size &&
           std::all_of(method.begin(), method.end(),
                       [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool parse_hash(std::string_view text, key_hash& hash)
{
    if (text.size() != 2 * hash.size())
        return false;
    auto const digit = [](char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    };
    for (std::size_t i = 0; i < hash.size(); ++i)
    {
        int const high = digit(text[2 * i]);
        int const low = digit(text[2 * i + 1]);
        if (high < 0 || low < 0)
            return false;
        hash[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return true;
}

/// The shortest decimal text of a float as a double, so that 0.1f is rendered
/// as 0.1.
double shortest_decimal(float value)
{
    return std::strtod(fmt::format("{}", value).c_str(), nullptr);
}

/// An integer where the value is one, so that 90.0 is rendered as 90.
json to_json_number(double value)
{
    if (value == std::floor(value) && std::abs(value) <= max_split_weight)
        return static_cast<std::int64_t>(value);
    return value;
}

std::int64_t to_ms(duration time)
{
    return time.count() / 1000;
}

std::string priority_name(std::span<priority const> priorities,
                          priority_index index)
{
    return index < priorities.size() ? priorities[index].name : std::string();
}

void read_shares(entry_reader& in, std::span<priority const> priorities,
                 service& result)
{
    json const* const found = in.find("priorities", true);
    if (found == nullptr)
        return;
    if (!found->is_object() || found->empty())
        return in.fail("priorities", "must be an object with a priority");
    std::string const path = pointer_to(in.path, "priorities");
    double total = 0;
    for (auto const& [name, value] : found->items())
    {
        entry_reader list{*found, path, in.errors};
        priority_share share;
        share.priority = find_priority(list, name, name, priorities);
        std::string const share_path = pointer_to(path, name);
        entry_reader share_reader{value, share_path, in.errors};
        if (!check_fields(share_reader, {"min_share"}))
            continue;
        read_number(share_reader, "min_share", {0, 1, false}, false,
                    share.min_share);
        total += share.min_share;
        result.shares.push_back(share);
    }
    // Allows for the rounding of decimal fractions.
    if (total > 1 + 1e-9)
        in.fail("priorities", "the sum of min_share must not exceed 1");
    std::sort(result.shares.begin(), result.shares.end(),
              [](priority_share const& left, priority_share const& right)
              { return left.priority < right.priority; });
}

void read_retry_limit(entry_reader& in, service& result)
{
    json const* const found = in.find("repeat_limit", false);
    if (found == nullptr)
        return;
    std::string const path = pointer_to(in.path, "repeat_limit");
    entry_reader limit_reader{*found, path, in.errors};
    if (!check_fields(limit_reader, {"share", "slack"}))
        return;
    service::retry_allowance limit;
    read_number(limit_reader, "share", {0, 10, false}, true, limit.share);
    read_number(limit_reader, "slack", {0, 1e6, false}, true, limit.slack);
    result.retry_limit = limit;
}

void read_flag(entry_reader& in, std::string_view key, bool required,
               bool& value)
{
    json const* const flag = in.find(key, required);
    if (flag == nullptr)
        return;
    if (flag->is_boolean())
        value = flag->get<bool>();
    else
        in.fail(key, "allowed: true or false");
}

/// Reads either the service of a route or its split.
void read_services(entry_reader& in, route& result)
{
    if (!in.value.contains("split"))
    {
        result.service = read_text(in, "service");
        return;
    }
    json const& parts = in.value["split"];
    if (in.value.contains("service"))
        return in.fail("split", "not allowed beside service");
    if (!parts.is_object() || parts.empty() || parts.size() > max_split_parts)
        return in.fail("split", fmt::format("must be an object of 1 to {} "
                                            "services",
                                            max_split_parts));
    std::string const path = pointer_to(in.path, "split");
    entry_reader list{parts, path, in.errors};
    for (auto const& [name, weight] : parts.items())
    {
        weighted_service part{name, 0};
        read_number(list, name, {0, max_split_weight, false}, true,
                    part.weight);
        result.split.push_back(std::move(part));
    }
    result.service = result.split.front().service;
}

} // namespace

std::string pointer_to(std::string_view parent, std::string_view token)
{
    std::string result(parent);
    result += '/';
    for (char c : token)
    {
        if (c == '~')
            result += "~0";
        else if (c == '/')
            result += "~1";
        else
            result += c;
    }
    return result;
}

bool is_account_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_account_name_size &&
           is_header_text(name);
}

bool is_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_name_size &&
           std::all_of(name.begin(), name.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '.' ||
                                  c == '_' || c == '@' || c == '-';
                       });
}

json to_json(priority const& value)
{
    json result{{"rank", value.rank},
                {"target_ms", to_ms(value.target)},
                {"worth", value.worth}};
    if (value.tier != priority().tier)
        result["tier"] = value.tier;
    return result;
}

json to_json(service const& value, std::span<priority const> priorities)
{
    json shares = json::object();
    for (priority_share const& share : value.shares)
    {
        std::string const name = priority_name(priorities, share.priority);
        if (!name.empty())
            shares[name] = {{"min_share", share.min_share}};
    }
    json result{{"floor_slots", value.floor_slots},
                {"reserved_slots", value.reserved_slots},
                {"warmup_ms", to_ms(value.warmup)},
                {"priorities", shares}};
    service const defaults;
    if (value.floor_share != defaults.floor_share)
        result["floor_share"] = value.floor_share;
    if (value.retry_limit)
        result["repeat_limit"] = {{"share", value.retry_limit->share},
                                  {"slack", value.retry_limit->slack}};
    if (value.probe_path != defaults.probe_path)
        result["probe_path"] = value.probe_path;
    return result;
}

json to_json(route const& value, std::span<priority const> priorities)
{
    json result{{"method", value.method},
                {"path", value.path},
                {"priority", priority_name(priorities, value.priority)},
                {"repeatable", value.repeatable},
                {"timeout_ms", value.timeout_ms}};
    if (value.split.empty())
        result["service"] = value.service;
    for (weighted_service const& part : value.split)
        result["split"][part.service] = to_json_number(part.weight);
    if (!value.host.empty())
        result["host"] = value.host;
    if (value.attempts != default_attempts)
        result["attempts"] = value.attempts;
    if (value.is_open)
        result["open"] = true;
    if (value.is_unclaimed)
        result["unclaimed"] = true;
    return result;
}

json to_json(account const& value)
{
    json result{{"rate", shortest_decimal(value.rate)},
                {"burst", shortest_decimal(value.burst)}};
    if (value.further_hashes.empty())
        result["key_hash"] = to_string(value.hash);
    else
        for_each_key(value, [&](key_hash const& hash)
                     { result["key_hashes"].push_back(to_string(hash)); });
    if (value.tier)
        result["tier"] = *value.tier;
    return result;
}

std::optional<priority> parse_priority(json const& value, std::string_view name,
                                       std::string_view path,
                                       error_list& errors)
{
    std::size_t const errors_before = errors.size();
    entry_reader in{value, path, errors};
    priority result;
    result.name = name;
    if (!check_fields(in, {"rank", "target_ms", "tier", "worth"}))
        return std::nullopt;
    read_number(in, "rank", {0, 1000, true}, true, result.rank);
    read_time(in, "target_ms", 1, true, result.target);
    read_number(in, "worth", {0, 1e9, false}, false, result.worth);
    read_number(in, "tier", {0, max_tier, true}, false, result.tier);
    if (errors.size() > errors_before)
        return std::nullopt;
    return result;
}

std::optional<service> parse_service(json const& value, std::string_view name,
                                     std::span<priority const> priorities,
                                     std::string_view path, error_list& errors)
{
    std::size_t const errors_before = errors.size();
    entry_reader in{value, path, errors};
    service result;
    result.name = name;
    if (!check_fields(in,
                      {"floor_slots", "floor_share", "priorities", "probe_path",
                       "repeat_limit", "reserved_slots", "warmup_ms"}))
        return std::nullopt;
    read_number(in, "floor_slots", {0, 1e7, true}, true, result.floor_slots);
    read_number(in, "reserved_slots", {0, 1e4, true}, false,
                result.reserved_slots);
    read_number(in, "floor_share", {0, 1, false}, false, result.floor_share);
    read_retry_limit(in, result);
    read_time(in, "warmup_ms", 0, false, result.warmup);
    if (value.contains("probe_path"))
        result.probe_path = read_text(in, "probe_path");
    if (!is_target(result.probe_path))
        in.fail("probe_path",
                "allowed: / and up to 1023 visible ASCII characters");
    read_shares(in, priorities, result);
    if (errors.size() > errors_before)
        return std::nullopt;
    return result;
}

std::optional<route> parse_route(json const& value, std::string_view name,
                                 std::span<priority const> priorities,
                                 std::string_view path, error_list& errors)
{
    std::size_t const errors_before = errors.size();
    entry_reader in{value, path, errors};
    route result;
    result.name = name;
    if (!check_fields(in, {"attempts", "host", "service", "split", "method",
                           "open", "path", "priority", "repeatable",
                           "timeout_ms", "unclaimed"}))
        return std::nullopt;
    read_services(in, result);
    result.method = read_text(in, "method");
    result.host = read_text(in, "host", false);
    result.path = read_text(in, "path");
    std::string const priority_text = read_text(in, "priority");
    read_number(in, "timeout_ms", {1, max_time_ms, true}, true,
                result.timeout_ms);
    read_number(in, "attempts", {1, 255, true}, false, result.attempts);
    read_flag(in, "repeatable", true, result.repeatable);
    read_flag(in, "open", false, result.is_open);
    read_flag(in, "unclaimed", false, result.is_unclaimed);
    if (errors.size() > errors_before)
        return std::nullopt;
    result.priority = find_priority(in, "priority", priority_text, priorities);
    if (!is_method(result.method))
        in.fail("method", "allowed: * or up to 16 capital letters");
    if (value.contains("host") && !is_host(result.host))
        in.fail("host", "allowed: up to 253 lower-case letters, digits and "
                        ". - _, without a port");
    if (!is_path(result.path))
        in.fail("path", "allowed: / and up to 1023 visible ASCII characters "
                        "without ?, with * only at the end");
    if (errors.size() > errors_before)
        return std::nullopt;
    return result;
}

namespace
{

/// Reads the usable hashes. Returns false when there is none.
bool read_key_hashes(entry_reader& in, account& result)
{
    std::vector<key_hash> hashes;
    auto const read_hash = [&](std::string_view key, std::string_view text)
    {
        key_hash hash{};
        if (!parse_hash(text, hash))
            in.fail(key, "allowed: 32 lower-case hexadecimal digits");
        else if (std::find(hashes.begin(), hashes.end(), hash) == hashes.end())
            hashes.push_back(hash);
    };
    json const* const list = in.find("key_hashes", false);
    if (list == nullptr)
    {
        json const* const single = in.find("key_hash", true);
        if (single == nullptr)
            return false;
        read_hash("key_hash", single->is_string() ? single->get<std::string>()
                                                  : std::string());
    }
    else if (!list->is_array() || list->empty() ||
             list->size() > max_account_keys)
        in.fail("key_hashes", fmt::format("must be a list of 1 to {} hashes",
                                          max_account_keys));
    if (list != nullptr && list->is_array())
    {
        for (json const& item : *list)
        {
            if (hashes.size() < max_account_keys)
                read_hash("key_hashes", item.is_string()
                                            ? item.get<std::string>()
                                            : std::string());
        }
    }
    if (hashes.empty())
        return false;
    result.hash = hashes.front();
    result.further_hashes.assign(hashes.begin() + 1, hashes.end());
    return true;
}

} // namespace

bool refuses_requests(route const& checked)
{
    return checked.service.empty() && checked.split.empty();
}

route make_refusing_route(route const& unusable)
{
    route result;
    result.name = unusable.name;
    result.method = unusable.method;
    result.host = unusable.host;
    result.path = unusable.path;
    result.repeatable = false;
    result.timeout_ms = 1;
    result.is_open = true;
    return result;
}

std::optional<route> parse_refusing_route(json const& value,
                                          std::string_view name)
{
    error_list ignored;
    entry_reader in{value, "", ignored};
    route result;
    result.name = name;
    result.method = read_text(in, "method");
    result.host = read_text(in, "host", false);
    result.path = read_text(in, "path");
    if (!ignored.empty() || !is_method(result.method) ||
        (!result.host.empty() && !is_host(result.host)) ||
        !is_target(result.path))
        return std::nullopt;
    return make_refusing_route(result);
}

std::optional<account> parse_account(json const& value, std::string_view name,
                                     std::string_view path, error_list& errors)
{
    entry_reader in{value, path, errors};
    account result;
    result.name = name;
    if (!check_fields(in, {"key_hash", "key_hashes", "rate", "burst", "tier"}))
        return std::nullopt;
    bool const has_key = read_key_hashes(in, result);
    read_number(in, "rate", {0, 1e9, false}, false, result.rate);
    read_number(in, "burst", {0, 1e9, false}, false, result.burst);
    int tier = 0;
    read_number(in, "tier", {0, max_tier, true}, false, tier);
    if (value.contains("tier"))
        result.tier = tier;
    // A bucket smaller than one request would refuse every request.
    if (result.rate > 0 && result.burst < 1)
    {
        in.fail("burst", "must be at least 1 when rate is set");
        result.burst = 1;
    }
    if (!has_key)
        return std::nullopt;
    return result;
}

} // namespace gooseberrycove::config
