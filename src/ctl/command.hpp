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
    exit_stale = 4,
    exit_not_found = 5 ///< explain: unknown path, account, service or daemon
};

/// Words or flags that are not a valid command; what() lists what is allowed.
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
    verb action = verb::services;
    std::vector<std::string> arguments;
};

/// Values of the flags that requests depend on.
struct options
{
    /// Version that a patch is based on; negative when not set.
    std::int64_t base_version = -1;
    /// Unique for each patch; resubmission under the same id does not apply the
    /// patch again.
    std::string patch_id;
    std::string author;
    /// History starts after this version.
    std::uint64_t since_version = 0;
    /// Explained request: its host, and the size of its body.
    std::string host;
    std::uint64_t body_bytes = 0;
};

struct http_request
{
    std::string method = "GET";
    /// Path and query, percent-encoded.
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Finds the command that the words start with; the rest are its arguments.
/// \throws usage_error for an unknown command or a wrong number of arguments
command parse_command(std::span<std::string const> words);

/// The HTTP request of a command.
/// \param file_content  content of the file that the command names
/// \throws usage_error for a patch without a base version or that is not JSON
http_request build_request(command const& requested, options const& flags,
                           std::string_view file_content);

/// Whether the command reads a file, named by its first argument.
bool needs_file(verb action);

/// Commands, flags, examples and exit codes.
std::string_view usage();

} // namespace gooseberrycove::ctl

#endif
