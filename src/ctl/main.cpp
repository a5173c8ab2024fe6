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
DEFINE_string(author, "", "recorded with the patch; $USER when empty");
DEFINE_uint64(since, 0, "first version left out of history");
DEFINE_uint64(until, 0, "version at which watch ends; 0 is never");

namespace GFLAGS_NAMESPACE
{
// Called by the library for a wrong flag, with code 1. Not in its header.
extern void (*gflags_exitfunc)(int);
} // namespace GFLAGS_NAMESPACE

namespace
{

using namespace gooseberrycove;
using namespace gooseberrycove::ctl;

/// Time between two questions of `config watch`.
constexpr std::chrono::seconds watch_interval{1};

std::string generate_id()
{
    std::random_device source;
    auto const half = [&]
    { return (static_cast<std::uint64_t>(source()) << 32) | source(); };
    return to_string(request_id{half(), half()});
}

options read_options()
{
    char const* const user = std::getenv("USER");
    options flags;
    flags.base = FLAGS_base;
    flags.patch_id = FLAGS_patch_id.empty() ? generate_id() : FLAGS_patch_id;
    flags.author =
        FLAGS_author.empty() && user != nullptr ? user : FLAGS_author;
    flags.since = FLAGS_since;
    for (std::string const& text : {flags.patch_id, flags.author})
    {
        // They become HTTP headers.
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

printed ask(command const& asked, options const& flags, std::string_view key,
            std::string_view file)
{
    http_request const request = build_request(asked, flags, file);
    http_answer const answer = send_request(
        FLAGS_admin, key, request, std::chrono::seconds(FLAGS_timeout_s));
    return render_answer(asked, flags, answer, file, FLAGS_output == "json");
}

int print(printed const& what)
{
    std::cout << what.output << std::flush;
    std::cerr << what.errors;
    return what.code;
}

/// Prints each new patch until --until or a refusal.
int watch(command const& asked, options flags, std::string_view key)
{
    std::chrono::seconds const timeout{FLAGS_timeout_s};
    if (flags.since == 0)
    {
        http_answer const now =
            send_request(FLAGS_admin, key, {"GET", "/config", {}, {}}, timeout);
        flags.since = std::strtoull(now.version.c_str(), nullptr, 10);
        std::cerr << "version " << flags.since << '\n';
    }
    while (FLAGS_until == 0 || flags.since < FLAGS_until)
    {
        http_answer const answer = send_request(
            FLAGS_admin, key, build_request(asked, flags, {}), timeout);
        printed const what =
            render_answer(asked, flags, answer, {}, FLAGS_output == "json");
        if (what.code != exit_ok)
            return print(what);
        std::uint64_t const before = flags.since;
        flags.since = newest_version(answer, before);
        if (flags.since > before)
            print(what);
        else
            std::this_thread::sleep_for(watch_interval);
    }
    return exit_ok;
}

int run(std::span<std::string const> words)
{
    command const asked = parse_command(words);
    check_flags();
    options const flags = read_options();
    std::string file;
    if (needs_file(asked.what))
        file = read_input(asked.arguments.at(0));
    std::string const key = read_key();
    try
    {
        if (asked.what == verb::config_watch)
            return watch(asked, flags, key);
        return print(ask(asked, flags, key, file));
    }
    catch (unreachable const& fault)
    {
        std::cerr << FLAGS_admin << ": " << fault.what() << '\n';
        if (fault.sent && asked.what == verb::config_patch)
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
    catch (std::exception const& fault)
    {
        std::cerr << "gcove_ctl: " << fault.what() << '\n';
        return exit_usage;
    }
}
