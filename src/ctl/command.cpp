#include "ctl/command.hpp"

#include <gooseberrycove/uri.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace gooseberrycove::ctl
{

namespace
{

struct command_entry
{
    /// Words that select the command, separated by single spaces.
    std::string_view words;
    verb action;
    std::size_t min_arguments;
    std::size_t max_arguments;
};

constexpr command_entry commands[] = {
    {"config get", verb::config_get, 0, 0},
    {"config diff", verb::config_diff, 1, 1},
    {"config patch", verb::config_patch, 1, 1},
    {"config history", verb::config_history, 0, 0},
    {"config watch", verb::config_watch, 0, 0},
    {"services", verb::services, 0, 0},
    {"servers", verb::servers, 0, 0},
    {"daemons", verb::daemons, 0, 0},
    {"drain", verb::drain, 1, 1},
    {"undrain", verb::undrain, 1, 1},
    {"explain", verb::explain, 2, 3},
};

http_request build_patch(options const& flags, std::string_view file_content)
{
    if (flags.base_version < 0)
        throw usage_error("config patch needs --base=VERSION, the version "
                          "that the patch was written for");
    if (!nlohmann::json::accept(file_content))
        throw usage_error("the patch file is not JSON");
    http_request request{"PATCH", "/config", {}, std::string(file_content)};
    request.headers["If-Match"] = fmt::format("\"{}\"", flags.base_version);
    request.headers["Content-Type"] = "application/merge-patch+json";
    request.headers["X-Patch-Id"] = flags.patch_id;
    if (!flags.author.empty())
        request.headers["X-Author"] = flags.author;
    return request;
}

std::string explain_target(std::vector<std::string> const& arguments,
                           options const& flags)
{
    std::string target = fmt::format("/explain?method={}&path={}",
                                     uri::percent_encode(arguments[0]),
                                     uri::percent_encode(arguments[1]));
    if (arguments.size() > 2)
        target += "&account=" + uri::percent_encode(arguments[2]);
    if (!flags.host.empty())
        target += "&host=" + uri::percent_encode(flags.host);
    if (flags.body_bytes > 0)
        target += fmt::format("&body_bytes={}", flags.body_bytes);
    return target;
}

} // namespace

command parse_command(std::span<std::string const> words)
{
    for (command_entry const& entry : commands)
    {
        std::size_t const length =
            1 + std::count(entry.words.begin(), entry.words.end(), ' ');
        if (words.size() < length)
            continue;
        std::string const prefix =
            fmt::format("{}", fmt::join(words.first(length), " "));
        if (prefix != entry.words)
            continue;
        auto const arguments = words.subspan(length);
        if (arguments.size() < entry.min_arguments ||
            arguments.size() > entry.max_arguments)
            throw usage_error(fmt::format(
                "{}: {} arguments given, allowed: {} to {}; see --help",
                entry.words, arguments.size(), entry.min_arguments,
                entry.max_arguments));
        return {entry.action, {arguments.begin(), arguments.end()}};
    }
    std::string allowed;
    for (command_entry const& entry : commands)
        allowed += fmt::format("\n  {}", entry.words);
    throw usage_error(words.empty() ? "no command, allowed:" + allowed
                                    : "unknown command, allowed:" + allowed);
}

http_request build_request(command const& requested, options const& flags,
                           std::string_view file_content)
{
    auto const& arguments = requested.arguments;
    switch (requested.action)
    {
    case verb::config_get:
    case verb::config_diff:
        return {"GET", "/config", {}, {}};
    case verb::config_patch:
        return build_patch(flags, file_content);
    case verb::config_history:
    case verb::config_watch:
        return {"GET",
                fmt::format("/config/history?since={}", flags.since_version),
                {},
                {}};
    case verb::services:
        return {"GET", "/services", {}, {}};
    case verb::servers:
        return {"GET", "/servers", {}, {}};
    case verb::daemons:
        return {"GET", "/daemons", {}, {}};
    case verb::drain:
        return {"POST",
                "/servers/" + uri::percent_encode(arguments[0]) + "/drain",
                {},
                {}};
    case verb::undrain:
        return {"POST",
                "/servers/" + uri::percent_encode(arguments[0]) + "/undrain",
                {},
                {}};
    case verb::explain:
        return {"GET", explain_target(arguments, flags), {}, {}};
    }
    return {};
}

bool needs_file(verb action)
{
    return action == verb::config_diff || action == verb::config_patch;
}

std::string_view usage()
{
    return R"(gcove_ctl: command for operators of gooseberrycove

usage: gcove_ctl --admin=IP:PORT --admin_key_file=FILE COMMAND

commands:
  config get                  the document in force; its version on stderr
  config diff FILE            merge patch from the document in force to FILE
  config patch FILE --base=N  submits a merge patch written for version N
  config history              patches after --since
  config watch                prints patches as they come into force
  services                    capacity of each service and its floor
  servers                     backend servers with health and home
  daemons                     daemons as the asked one sees them
  drain NAME, undrain NAME    takes a backend server out of use, or back
  explain METHOD PATH [ACCOUNT]
                              where such a request would go, and why; sends
                              nothing

FILE may be - for standard input.

flags:
  --admin=IP:PORT        administration address of a daemon (required)
  --admin_key_file=FILE  file with the administration key
  --output=table|json    form of the output (table)
  --timeout_s=N          limit for one request (15)
  --base=N               version that a patch is based on
  --patch_id=TEXT        unique id of the patch (generated); give the id of a
                         patch whose outcome is unknown to submit it again
  --author=TEXT          recorded with the patch ($USER)
  --host=NAME            host of the explained request
  --body_bytes=N         size of the body of the explained request (0)
  --from=DAEMON          explain: asks this daemon, which the daemon at --admin
                         knows by name
  --since=N              first version left out of history (0)
  --until=N              version at which watch ends (never)

examples:
  gcove_ctl --admin=127.0.0.1:7101 --admin_key_file=admin.key config get
  gcove_ctl ... config diff wanted.json >patch.json
  gcove_ctl ... config patch patch.json --base=12 --author=kim
  echo '{"services":{"orders":{"floor_slots":20}}}' |
      gcove_ctl ... config patch - --base=13
  gcove_ctl ... explain GET /catalogue/17 shop

exit codes: 0 done, 1 refused, 2 wrong usage or settings, 3 the daemon cannot
be reached, 4 the patch is based on a stale version, 5 nothing to explain:
unknown path, account, service or daemon
)";
}

} // namespace gooseberrycove::ctl
