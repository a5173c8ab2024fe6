#include "ctl/http_client.hpp"
#include <gooseberrycove/settings.hpp>
#include <gooseberrycove/types.hpp>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

DEFINE_string(admin, "", "administration address of a daemon, ip:port");
DEFINE_string(admin_key_file, "", "file with the administration key");
DEFINE_string(output, "table", "table or json");
DEFINE_uint32(timeout_s, 15, "limit for one request in seconds");
DEFINE_int64(base, -1, "version that a patch is based on");
DEFINE_string(patch_id, "", "unique id of the patch; generated when empty");
DEFINE_string(host, "", "host of the explained request");
DEFINE_uint64(body_bytes, 0, "size of the body of the explained request");
DEFINE_string(from, "", "daemon that explains; the one at --admin when empty");
DEFINE_string(author, "", "recorded with the patch; $USER when empty");
DEFINE_uint64(since, 0, "first version left out of history");
DEFINE_uint64(until, 0, "version at which watch ends; 0 is never");

namespace GFLAGS_NAMESPACE
{
// gflags calls this function with code 1 for an invalid flag. It is not
// declared in the library's public header.
extern void (*gflags_exitfunc)(int);
} // namespace GFLAGS_NAMESPACE

namespace
{

using namespace gooseberrycove;
using namespace gooseberrycove::ctl;

/// Time between two requests of `config watch`.
constexpr std::chrono::seconds watch_interval{1};

std::string generate_id()
{
    std::random_device source;
    auto const generate_half = [&]
    { return (static_cast<std::uint64_t>(source()) << 32) | source(); };
    return to_string(request_id{generate_half(), generate_half()});
}

options read_options()
{
    char const* const user = std::getenv("USER");
    options flags;
    flags.base_version = FLAGS_base;
    flags.patch_id = FLAGS_patch_id.empty() ? generate_id() : FLAGS_patch_id;
    flags.author =
        FLAGS_author.empty() && user != nullptr ? user : FLAGS_author;
    flags.since_version = FLAGS_since;
    flags.host = FLAGS_host;
    flags.body_bytes = FLAGS_body_bytes;
    for (std::string const& text : {flags.patch_id, flags.author})
    {
        // Both are sent as HTTP headers, where control characters
        // are not allowed.
        if (std::any_of(text.begin(), text.end(),
                        [](unsigned char c) { return c < 0x20; }))
            throw usage_error("--patch_id and --author: no control characters");
    }
    return flags;
}

std::string read_input(std::string const& name)
{
    if (name != "-")
        return read_file(name);
    return {std::istreambuf_iterator<char>(std::cin), {}};
}

std::string read_key()
{
    if (FLAGS_admin_key_file.empty())
        return {};
    std::string key = read_file(FLAGS_admin_key_file);
    key.erase(key.find_last_not_of(" \t\r\n") + 1);
    return key;
}

void check_flags()
{
    if (!is_address(FLAGS_admin))
        throw usage_error("--admin: '" + FLAGS_admin +
                          "' is not allowed, allowed: ip:port");
    if (FLAGS_output != "table" && FLAGS_output != "json")
        throw usage_error("--output: allowed: table or json");
    if (FLAGS_timeout_s < 1)
        throw usage_error("--timeout_s: allowed: 1 or more");
}

/// Address of the daemon that --from names. Empty when it is not known.
std::string find_daemon(std::string_view key)
{
    http_response const listed =
        send_request(FLAGS_admin, key, {"GET", "/daemons", {}, {}},
                     std::chrono::seconds(FLAGS_timeout_s));
    return admin_address_of(listed.body, FLAGS_from);
}

command_output send_command(command const& requested, options const& flags,
                            std::string_view key, std::string_view file_content)
{
    http_request const request = build_request(requested, flags, file_content);
    std::string address = FLAGS_admin;
    if (requested.action == verb::explain && !FLAGS_from.empty())
        address = find_daemon(key);
    if (address.empty())
        return {exit_not_found, {}, "unknown daemon '" + FLAGS_from + "'\n"};
    http_response const response = send_request(
        address, key, request, std::chrono::seconds(FLAGS_timeout_s));
    return render_response(requested, flags, response, file_content,
                           FLAGS_output == "json");
}

int print(command_output const& output)
{
    std::cout << output.text << std::flush;
    std::cerr << output.errors;
    return output.code;
}

/// Prints each new patch until --until or a refusal.
int watch(command const& requested, options flags, std::string_view key)
{
    std::chrono::seconds const timeout{FLAGS_timeout_s};
    if (flags.since_version == 0)
    {
        http_response const current =
            send_request(FLAGS_admin, key, {"GET", "/config", {}, {}}, timeout);
        flags.since_version =
            std::strtoull(current.version.c_str(), nullptr, 10);
        std::cerr << "version " << flags.since_version << '\n';
    }
    while (FLAGS_until == 0 || flags.since_version < FLAGS_until)
    {
        http_response const response = send_request(
            FLAGS_admin, key, build_request(requested, flags, {}), timeout);
        command_output const output = render_response(
            requested, flags, response, {}, FLAGS_output == "json");
        if (output.code != exit_ok)
            return print(output);
        std::uint64_t const previous_version = flags.since_version;
        flags.since_version = newest_version(response, previous_version);
        if (flags.since_version > previous_version)
            print(output);
        else
            std::this_thread::sleep_for(watch_interval);
    }
    return exit_ok;
}

int run(std::span<std::string const> words)
{
    command const requested = parse_command(words);
    check_flags();
    options const flags = read_options();
    std::string file_content;
    if (needs_file(requested.action))
        file_content = read_input(requested.arguments.at(0));
    std::string const key = read_key();
    try
    {
        if (requested.action == verb::config_watch)
            return watch(requested, flags, key);
        return print(send_command(requested, flags, key, file_content));
    }
    catch (unreachable_error const& failure)
    {
        std::cerr << FLAGS_admin << ": " << failure.what() << '\n';
        if (failure.may_have_arrived && requested.action == verb::config_patch)
            std::cerr << "the patch may be in force; submitting it again with "
                         "--patch_id="
                      << flags.patch_id << " does not apply it twice\n";
        return exit_unreachable;
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetVersionString("0.1.0");
    GFLAGS_NAMESPACE::gflags_exitfunc = [](int) { std::exit(exit_usage); };
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    std::string help;
    gflags::GetCommandLineOption("help", &help);
    if (help == "true")
    {
        std::cout << usage();
        return exit_ok;
    }
    GFLAGS_NAMESPACE::gflags_exitfunc = &std::exit;
    gflags::HandleCommandLineHelpFlags();
    std::vector<std::string> const words(argv + 1, argv + argc);
    try
    {
        return run(words);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "gcove_ctl: " << failure.what() << '\n';
        return exit_usage;
    }
}
