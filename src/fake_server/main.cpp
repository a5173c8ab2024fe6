#include "fake_server/http.hpp"
#include "tool_settings/tool_settings.hpp"
#include <gooseberrycove/event.hpp>

#include <curl/curl.h>

#include <array>
#include <chrono>
#include <thread>

namespace
{

using namespace gooseberrycove;
using enum setting_type;

std::array const schema{
    setting{"server", "name", text, "", true, 0, 0, "unique name", false},
    setting{"server", "service", text, "", true, 0, 0, "service name", false},
    setting{"server", "listen", address, "", true, 0, 0, "ip:port", false},
    setting{"server", "announce_to", addresses, "", false, 0, 0,
            "administration ports of daemons, preferred first", false},
    setting{"server", "announce_key_file", text, "", false, 0, 0,
            "file with the announcement key", false},
    setting{"server", "slots", number, "4", false, 1, 10000,
            "requests that run at a time", false},
    setting{"server", "queue", number, "16", false, 0, 100000,
            "requests that may wait for a slot", false},
    setting{"server", "connections", number, "400", false, 1, 100000,
            "open connections", false},
    setting{"server", "mean_ms", real, "20", false, 0.01, 600000,
            "mean service time in ms", false},
    setting{"server", "warmup_ms", number, "0", false, 0, 3600000,
            "length of the cold start in ms", false},
    setting{"server", "lease_ms", number, "6000", false, 100, 3600000,
            "requested lease in ms", false},
    setting{"server", "drain_ms", number, "2500", false, 0, 30000,
            "minimum time between SIGTERM and exit in ms", false},
    setting{"server", "stamp", text, "", false, 0, 0,
            "header that answers to work that ran bear; empty for none", false},
    setting{"server", "limit", real, "0", false, 0, 1e6,
            "requests a second that answers name in Server-Limit; 0 for none",
            false},
    setting{"server", "leaving", boolean, "false", false, 0, 0,
            "whether answers have the header Server-Leaving", false},
    setting{"server", "seed", number, "1", false, 0, 4294967295.0,
            "seed of the service times", false},
    setting{"server", "history", text, "", false, 0, 0,
            "file for the history; empty for none", false}};

duration from_millis(double count)
{
    return duration(static_cast<std::int64_t>(count * 1000));
}

fake_server::work_limits read_limits(settings const& values)
{
    return {.name = values.text("server", "name"),
            .service = values.text("server", "service"),
            .slots = values.number("server", "slots"),
            .queue = values.number("server", "queue"),
            .mean = from_millis(values.real("server", "mean_ms")),
            .warmup = from_millis(values.real("server", "warmup_ms")),
            .seed = values.number("server", "seed")};
}

/// The incarnation is the wall-clock time, so that it rises with each start.
fake_server::announce_options read_announce_options(settings const& values)
{
    fake_server::announce_options result{
        .name = values.text("server", "name"),
        .service = values.text("server", "service"),
        .address = values.text("server", "listen"),
        .targets = values.addresses("server", "announce_to"),
        .key = {},
        .slots = values.number("server", "slots"),
        .connections = values.number("server", "connections"),
        .incarnation = static_cast<std::uint64_t>(
            std::chrono::system_clock::now().time_since_epoch() /
            std::chrono::microseconds(1)),
        .lease = from_millis(values.real("server", "lease_ms"))};
    if (result.targets.empty())
        return result;
    result.key = read_file(values.text("server", "announce_key_file"));
    result.key.erase(result.key.find_last_not_of(" \r\n") + 1);
    return result;
}

evidence::record process_record(settings const& values, std::string_view event)
{
    evidence::record result;
    result.event = event;
    result.server = values.text("server", "name");
    result.service = values.text("server", "service");
    result.time_us = evidence::to_micros(clock_now());
    return result;
}

void check(settings const& values)
{
    read_announce_options(values);
}

int run(settings const& values)
{
    auto const options = read_announce_options(values);
    evidence::history_log history(values.text("server", "history"));
    history.add(process_record(values, "begin"));
    curl_global_init(CURL_GLOBAL_DEFAULT);
    fake_server::announce_inbox inbox(64);
    std::thread announcer(
        [&] { fake_server::run_announcer(inbox, options, history); });
    int exit_code = 0;
    try
    {
        log_info(event_line(event::process_started)
                     .field("server", options.name)
                     .field("listen", options.address));
        fake_server::run_http(
            {.listen = options.address,
             .connections = options.connections,
             .min_drain_time = from_millis(values.real("server", "drain_ms")),
             .stamp = values.text("server", "stamp"),
             .limit = values.real("server", "limit"),
             .is_leaving = values.boolean("server", "leaving")},
            read_limits(values), inbox, history);
    }
    catch (std::exception const& failure)
    {
        log_error(
            event_line(event::process_failed).field("why", failure.what()));
        exit_code = 1;
    }
    inbox.close();
    announcer.join();
    history.add(process_record(values, "exit"));
    log_info(event_line(event::process_stopped).field("server", options.name));
    return exit_code;
}

} // namespace

int main(int argc, char** argv)
{
    return tool_settings::run_with_settings(
        argc, argv, "Backend server stand-in with faults.", schema, run, check);
}
