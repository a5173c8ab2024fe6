#ifndef GOOSEBERRYCOVE_CTL_RENDER_HPP
#define GOOSEBERRYCOVE_CTL_RENDER_HPP

#include "ctl/command.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace gooseberrycove::ctl
{

struct http_response
{
    int status = 0;
    /// ETag without its quotes.
    std::string version;
    std::string body;
};

/// Output of the program and its exit code.
struct command_output
{
    int code = exit_ok;
    std::string text;
    std::string errors;
};

/// Renders the daemon's response as text.
/// \param file_content  wanted document of a diff
/// \param as_json       whether the body is printed as JSON instead of as a
/// table
command_output render_response(command const& requested, options const& flags,
                               http_response const& response,
                               std::string_view file_content, bool as_json);

/// Administration address of the daemon \p name in the body of a response to
/// GET /daemons; empty when it is not listed.
std::string admin_address_of(std::string_view daemons, std::string_view name);

/// Highest version in the response to a history request, but at least \p since.
std::uint64_t newest_version(http_response const& response,
                             std::uint64_t since);

/// JSON merge patch (RFC 7386) that turns \p current into \p wanted.
nlohmann::json make_merge_patch(nlohmann::json const& current,
                                nlohmann::json const& wanted);

/// Text table with a title line and one line for each object in \p rows.
std::string render_table(nlohmann::json const& rows,
                         std::span<std::string_view const> columns);

} // namespace gooseberrycove::ctl

#endif
