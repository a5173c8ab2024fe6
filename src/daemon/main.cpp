#include "daemon.hpp"
#include "daemon_settings.hpp"
#include "tool_settings/tool_settings.hpp"
#include <gooseberrycove/log.hpp>

#include <curl/curl.h>
#include <pthread.h>
#include <unistd.h>

#include <atomic>
#include <csignal>

namespace
{

using namespace gooseberrycove;

constexpr int exit_failed = 1;

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

void reload(daemon_process& process)
{
    try
    {
        apply_log_level(tool_settings::read_settings(daemon_schema()));
        process.reload_keys();
        log_info(event_line(event::settings_reloaded));
    }
    catch (settings_error const& failure)
    {
        log_error(
            event_line(event::settings_refused).field("why", failure.what()));
    }
}

void wait_for_termination(sigset_t const& signals, daemon_process& process)
{
    for (int number = SIGHUP; number == SIGHUP;)
    {
        sigwait(&signals, &number);
        if (number == SIGHUP)
            reload(process);
    }
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

/// Checks the key files, which the schema cannot do, by reading them.
/// \throws settings_error when a key file is unusable
void check_key_files(settings const& values)
{
    make_daemon(values);
}

int run(settings const& values)
{
    sigset_t const signals = block_signals();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    apply_log_level(values);
    auto const process = make_daemon(values);
    std::atomic<bool> has_failed{false};
    log_info(event_line(event::process_started)
                 .field("name", values.text("daemon", "name")));
    process->start(
        [&has_failed](std::string_view reason)
        {
            log_error(event_line(event::process_failed).field("why", reason));
            has_failed = true;
            ::kill(::getpid(), SIGTERM);
        });
    wait_for_termination(signals, *process);
    log_info(event_line(event::process_draining));
    auto const drain_limit = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(values.real("daemon", "drain_seconds")));
    std::chrono::milliseconds const drain_notice(
        values.number("daemon", "drain_notice_ms"));
    time_point const now = clock_now();
    process->drain(has_failed ? now : now + drain_notice,
                   has_failed ? now : now + drain_limit);
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
        "SIGTERM drains, SIGHUP rereads key files and the log level.\n"
        "Exit codes: 0 stopped, 1 failed, 2 bad settings.",
        daemon_schema(), run, check_key_files);
}
