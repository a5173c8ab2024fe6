#ifndef GOOSEBERRYCOVE_CTL_RENDER_HPP
#define GOOSEBERRYCOVE_CTL_RENDER_HPP

#include "ctl/command.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace gooseberrycove::ctl
{

struct http_answer
{
    int status = 0;
    /// ETag without its quotes.
    std::string version;
    std::string body;
};

/// What the program prints and returns.
struct printed
{
    int code = exit_ok;
    std::string output;
    std::string errors;
};

/// Turns the daemon's answer into text. \param file  wanted document of a diff
printed render_answer(command const& asked, options const& flags,
                      http_answer const& answer, std::string_view file,
                      bool as_json);

/// Highest version in the answer to a question for history, at least \p since.
std::uint64_t newest_version(http_answer const& answer, std::uint64_t since);

/// Patch (RFC 7386) that turns \p from into \p to.
nlohmann::json merge_diff(nlohmann::json const& from, nlohmann::json const& to);

/// Rows of objects as a table with these columns.
std::string render_table(nlohmann::json const& rows,
                         std::span<std::string_view const> columns);

} // namespace gooseberrycove::ctl

#endif
