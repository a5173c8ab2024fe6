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

/// Limits of the document, as named in faults.
inline constexpr std::size_t max_name_size = 128;
inline constexpr std::size_t max_method_size = 16;

using fault_list = std::vector<patch_error>;

/// Appends a token to a JSON pointer, escaped as in RFC 6901.
std::string pointer_to(std::string_view parent, std::string_view token);

/// Whether \p name may name an entry: letters, digits and `._@-`.
bool is_name(std::string_view name);

// Entry to JSON, with every field.
nlohmann::json to_json(priority const& one);
nlohmann::json to_json(service const& one, std::span<priority const> names);
nlohmann::json to_json(route const& one, std::span<priority const> names);
nlohmann::json to_json(account const& one);

// JSON to entry. Adds a fault for everything that does not fit and then
// returns nothing. \p path is the entry's pointer.
std::optional<priority> parse_priority(nlohmann::json const& from,
                                       std::string_view name,
                                       std::string_view path,
                                       fault_list& faults);
std::optional<service> parse_service(nlohmann::json const& from,
                                     std::string_view name,
                                     std::span<priority const> names,
                                     std::string_view path, fault_list& faults);
std::optional<route> parse_route(nlohmann::json const& from,
                                 std::string_view name,
                                 std::span<priority const> names,
                                 std::string_view path, fault_list& faults);
std::optional<account> parse_account(nlohmann::json const& from,
                                     std::string_view name,
                                     std::string_view path, fault_list& faults);

} // namespace gooseberrycove::config

#endif
