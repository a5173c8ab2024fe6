#ifndef GOOSEBERRYCOVE_CONFIG_ENTRY_JSON_HPP
#define GOOSEBERRYCOVE_CONFIG_ENTRY_JSON_HPP

#include "config/table_data.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::config
{

/// Limits of the document; error messages state them.
inline constexpr std::size_t max_name_size = 128;
inline constexpr std::size_t max_account_name_size = 4096;
inline constexpr std::size_t max_method_size = 16;

using error_list = std::vector<patch_error>;

/// Appends a token to a JSON pointer, escaped as in RFC 6901.
std::string pointer_to(std::string_view parent, std::string_view token);

/// Whether \p name is allowed as the name of an entry: 1 to max_name_size
/// letters, digits and `._@-`.
bool is_name(std::string_view name);

/// Whether \p name is allowed as the name of an account that callers address by
/// a key alone: 1 to max_account_name_size bytes without control characters and
/// without blanks at its ends. A header can hold such a name as it is.
bool is_account_name(std::string_view name);

// Entry to JSON. Some optional fields are left out when they have their
// default.
nlohmann::json to_json(priority const& value);
nlohmann::json to_json(service const& value,
                       std::span<priority const> priorities);
nlohmann::json to_json(route const& value,
                       std::span<priority const> priorities);
nlohmann::json to_json(account const& value);

// JSON to entry. Adds an error for each field that is unknown, missing or not
// allowed, and then returns nothing. \p path is the entry's JSON pointer.
std::optional<priority> parse_priority(nlohmann::json const& value,
                                       std::string_view name,
                                       std::string_view path,
                                       error_list& errors);
std::optional<service> parse_service(nlohmann::json const& value,
                                     std::string_view name,
                                     std::span<priority const> priorities,
                                     std::string_view path, error_list& errors);
std::optional<route> parse_route(nlohmann::json const& value,
                                 std::string_view name,
                                 std::span<priority const> priorities,
                                 std::string_view path, error_list& errors);

/// Whether the route refuses every request, because its entry could not be
/// used.
bool refuses_requests(route const& checked);

/// A route with the pattern of \p unusable that refuses every request.
route make_refusing_route(route const& unusable);

/// Returns such a route for an entry that parse_route() refuses, or nothing
/// when its host, path or method cannot be read either.
std::optional<route> parse_refusing_route(nlohmann::json const& value,
                                          std::string_view name);

/// Unlike the others, returns an account that has errors but a usable key, with
/// the defaults of the fields that are not usable: without it, requests with
/// its keys would be refused as unauthenticated.
std::optional<account> parse_account(nlohmann::json const& value,
                                     std::string_view name,
                                     std::string_view path, error_list& errors);

} // namespace gooseberrycove::config

#endif
