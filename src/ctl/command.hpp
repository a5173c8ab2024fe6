#ifndef GOOSEBERRYCOVE_CTL_COMMAND_HPP
#define GOOSEBERRYCOVE_CTL_COMMAND_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::ctl
{

/// Exit codes of gcove_ctl.
enum exit_code : int
{
    exit_ok = 0,
    exit_refused = 1,
    exit_usage = 2,
    exit_unreachable = 3,
    exit_stale = 4
};

/// Words or flags that make no command; what() says what is allowed.
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

enum class verb
{
    config_get,
    config_diff,
    config_patch,
    config_history,
    config_watch,
    services,
    servers,
    daemons,
    drain,
    undrain,
    explain
};

/// A command with its arguments.
struct command
{
    verb what = verb::services;
    std::vector<std::string> arguments;
};

/// Flags that some commands need.
struct options
{
    /// Version that a patch is based on; negative when not given.
    std::int64_t base = -1;
    /// Unique for each patch.
    std::string patch_id;
    std::string author;
    std::uint64_t since = 0;
};

struct http_request
{
    std::string method = "GET";
    /// Path and query, percent-encoded.
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// \throws usage_error
command parse_command(std::span<std::string const> words);

/// The request of a command. \param file  content of the file that it names
/// \throws usage_error
http_request build_request(command const& asked, options const& flags,
                           std::string_view file);

/// Whether the command reads a file, named by its first argument.
bool needs_file(verb what);

/// Commands, flags, examples and exit codes.
std::string_view usage();

} // namespace gooseberrycove::ctl

#endif
