#include "daemon.hpp"
#include "daemon_settings.hpp"
#include "revision.hpp"
#include "tool_settings/tool_settings.hpp"
#include <gooseberrycove/log.hpp>

#include <curl/curl.h>
#include <malloc.h>
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>

namespace
{

using namespace gooseberrycove;

constexpr int exit_failed = 1;

/// Blocks of this size are returned to the system as soon as they are freed.
constexpr int returned_block_bytes = 128 << 10;

sigset_t block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (int const number : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, number);
    // Threads inherit the mask, so that only wait_for_termination() receives
    // these signals.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void apply_log_level(settings const& values)
{
    set_log_level(static_cast<severity>(values.number("daemon", "log_level")));
}

/// Keeps the memory of freed bodies from staying with the process. By default
/// the C library raises the size of returned blocks to that of the largest body
/// freed so far.
void bound_kept_memory(deployment const& given)
{
    if (given.memory)
        mallopt(M_MMAP_THRESHOLD, returned_block_bytes);
}

/// \throws settings_error for settings that contradict each other
void check_conflicts(deployment const& given)
{
    std::string errors;
    for (std::string const& conflict : find_conflicts(given))
        errors += conflict + '\n';
    if (!errors.empty())
        throw settings_error(errors);
}

void log_bounds(deployment const& given, deployment_bounds const& bounds)
{
    log_info(event_line(event::bounds_derived)
                 .field("drain_notice_ms", to_milliseconds(bounds.drain_notice))
                 .field("drain_limit_ms", to_milliseconds(bounds.drain_limit))
                 .field("max_buffered", bounds.max_buffered)
                 .field("max_in_flight", bounds.max_in_flight)
                 .field("max_all_bodies", bounds.max_all_bodies)
                 .field("max_received_bodies", bounds.max_received_bodies)
                 .field("max_connections", bounds.max_connections)
                 .field("assumed", assumed_settings(given)));
}

/// Applies the settings file as it is now. \p bounds keeps its value when the
/// file cannot be used.
void reload(daemon_process& process, deployment_bounds& bounds)
{
    try
    {
        settings const values = tool_settings::read_settings(daemon_schema());
        deployment const given = read_deployment(values);
        check_conflicts(given);
        apply_log_level(values);
        process.reload_keys();
        bounds = derive_bounds(given);
        log_info(event_line(event::settings_reloaded));
        log_bounds(given, bounds);
    }
    catch (settings_error const& failure)
    {
        log_error(
            event_line(event::settings_refused).field("why", failure.what()));
    }
}

void wait_for_termination(sigset_t const& signals, daemon_process& process,
                          deployment_bounds& bounds)
{
    for (int number = SIGHUP; number == SIGHUP;)
    {
        sigwait(&signals, &number);
        if (number == SIGHUP)
            reload(process, bounds);
    }
}

/// A SIGHUP during a shutdown is ignored.
termination_wait make_termination_wait(sigset_t signals)
{
    sigdelset(&signals, SIGHUP);
    return [signals](time_point end)
    {
        duration const left = std::max(duration(0), end - clock_now());
        auto const seconds =
            std::chrono::duration_cast<std::chrono::seconds>(left);
        timespec limit{};
        limit.tv_sec = seconds.count();
        limit.tv_nsec = std::chrono::nanoseconds(left - seconds).count();
        return sigtimedwait(&signals, nullptr, &limit) >= 0;
    };
}

std::unique_ptr<daemon_process> make_daemon(settings const& values)
{
    // The incarnation is read from the wall clock so that it increases over
    // restarts: a VM keeps no state.
    auto const incarnation =
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    return daemon_builder()
        .values(values)
        .incarnation(static_cast<std::uint64_t>(incarnation.count()))
        .build();
}

/// Checks what the schema cannot: that settings do not contradict each other,
/// and the key files, by reading them.
/// \throws settings_error when they do or a key file is unusable
void check_values(settings const& values)
{
    check_conflicts(read_deployment(values));
    make_daemon(values);
}

int run(settings const& values)
{
    sigset_t const signals = block_signals();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    apply_log_level(values);
    deployment const given = read_deployment(values);
    deployment_bounds bounds = derive_bounds(given);
    bound_kept_memory(given);
    auto const process = make_daemon(values);
    std::atomic<bool> has_failed{false};
    log_info(event_line(event::process_started)
                 .field("name", values.text("daemon", "name"))
                 .field("revision", build_revision)
                 .field("sources", build_sources));
    log_bounds(given, bounds);
    process->start(
        [&has_failed](std::string_view reason)
        {
            log_error(event_line(event::process_failed).field("why", reason));
            has_failed = true;
            ::kill(::getpid(), SIGTERM);
        });
    wait_for_termination(signals, *process, bounds);
    log_info(event_line(event::process_draining));
    time_point const now = clock_now();
    process->drain(bounds,
                   has_failed ? stop_at_once(now) : begin_shutdown(bounds, now),
                   make_termination_wait(signals));
    process->stop();
    log_info(event_line(event::process_stopped));
    return has_failed ? exit_failed : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return tool_settings::run_with_settings(
        argc, argv,
        "one daemon of the proxy fleet\n"
        "  gcove_daemon --settings=daemon.ini\n"
        "  gcove_daemon --settings=daemon.ini --check_settings\n"
        "  gcove_daemon --settings=daemon.ini --set=daemon.log_level=1\n"
        "SIGTERM drains, SIGHUP rereads key files, the log level and the times "
        "of a shutdown.\n"
        "Exit codes: 0 stopped, 1 failed, 2 bad settings.",
        daemon_schema(), run, check_values);
}
