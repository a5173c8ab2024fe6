#include "load/plan.hpp"
#include "load/summary.hpp"
#include "tool_settings/tool_settings.hpp"

#include <gflags/gflags.h>

#include <array>
#include <iostream>
#include <thread>

DEFINE_string(output, "table", "summary as table or json");

namespace
{

using namespace gooseberrycove;
using enum setting_type;

std::array const schema{
    setting{"load", "targets", addresses, "", true, 0, 0,
            "listen addresses of daemons", false},
    setting{"load", "streams", text, "", true, 0, 0,
            "name:rate:METHOD:/path:repeatable:deadline_ms, separated by "
            "blanks",
            false},
    setting{"load", "seconds", real, "10", false, 0.001, 86400,
            "length of the run", false},
    setting{"load", "seed", number, "1", false, 0, 4294967295.0,
            "decides arrivals, request ids and keys; a second run against the "
            "same fleet needs another one",
            false},
    setting{"load", "retries", number, "0", false, 0, 100,
            "repeats of keyed work with an unknown outcome", false},
    setting{"load", "reconnect", boolean, "true", false, 0, 0,
            "send work to the next target when one is unreachable", false},
    setting{"load", "account", text, "", false, 0, 0, "account name", false},
    setting{"load", "secret", text, "", false, 0, 0, "account secret", false},
    setting{"load", "history", text, "", false, 0, 0,
            "file for the history; empty for none", false}};

load::plan_options read_options(settings const& values)
{
    return {.targets = values.addresses("load", "targets"),
            .streams = load::parse_streams(values.text("load", "streams")),
            .run_length = duration(static_cast<std::int64_t>(
                1e6 * values.real("load", "seconds"))),
            .seed = values.number("load", "seed"),
            .max_retries = values.number("load", "retries"),
            .reconnects = values.boolean("load", "reconnect")};
}

/// Records and sends what the plan decided. A transfer that exceeds the limit
/// of open transfers ends as not sent.
void perform_actions(load::plan_state& plan, load::plan_actions& actions,
                     load::transfer_inbox& transfers,
                     evidence::history_log& history, time_point now)
{
    load::plan_actions refused;
    for (evidence::record& item : actions.records)
        history.add(std::move(item));
    for (load::transfer& item : actions.transfers)
    {
        std::uint64_t const ticket = item.ticket;
        bool const has_room = plan.open_work.size() <= load::max_open_transfers;
        if (has_room && transfers.try_push(std::move(item)))
            continue;
        load::transfer_result result;
        result.ticket = ticket;
        result.end = load::transfer_end::not_sent;
        load::on_result(plan, result, now, refused);
    }
    for (evidence::record& item : refused.records)
        history.add(std::move(item));
    actions = {};
}

/// Runs the planning duty until all work has ended.
void run_plan(load::plan_state& plan, load::transfer_inbox& transfers,
              load::result_inbox& results, evidence::history_log& history)
{
    std::vector<load::transfer_result> batch;
    load::plan_actions actions;
    while (!load::is_finished(plan))
    {
        time_point const latest_wakeup = clock_now() + std::chrono::seconds(1);
        results.pop_until(batch,
                          std::min(latest_wakeup, load::next_send_time(plan)));
        time_point const now = clock_now();
        for (load::transfer_result const& result : batch)
            load::on_result(plan, result, now, actions);
        batch.clear();
        load::on_time(plan, now, actions);
        perform_actions(plan, actions, transfers, history, now);
    }
}

void check_values(settings const& values)
{
    load::parse_streams(values.text("load", "streams"));
    if (FLAGS_output != "table" && FLAGS_output != "json")
        throw settings_error("--output: allowed: table, json");
}

int run(settings const& values)
{
    load::plan_options const options = read_options(values);
    evidence::history_log history(values.text("load", "history"));
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::string const authorization = "Bearer " +
                                      values.text("load", "account") + ":" +
                                      values.text("load", "secret");
    load::transfer_inbox transfers(load::max_open_transfers);
    load::result_inbox results(load::max_open_transfers);
    std::thread sender(
        [&] { load::run_transfers(transfers, results, authorization); });
    load::plan_state plan = load::make_plan(options, clock_now());
    run_plan(plan, transfers, results, history);
    transfers.close();
    sender.join();
    std::cout << (FLAGS_output == "json" ? load::summary_json(plan)
                                         : load::summary_table(plan));
    return load::count_wrong(plan) > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return tool_settings::run_with_settings(argc, argv,
                                            "Open-loop load with histories.",
                                            schema, run, check_values);
}
