#include "check/rules.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>

namespace gooseberrycove::check
{

namespace
{

using evidence::record;

/// State of one run of a backend server.
struct server_run
{
    /// First record of the current drain, if there is one.
    record const* drain = nullptr;
    /// Start records of unfinished work, by request id.
    std::multimap<std::string_view, record const*> unfinished_work;
};

using server_runs = std::map<std::string_view, server_run>;

/// Tracks the runs of the servers over the records. Calls visit(run, record)
/// before the record changes the run.
template <class Visitor>
void track_servers(std::span<record const> records, Visitor visit)
{
    server_runs runs;
    for (record const& item : records)
    {
        if (item.server.empty() || item.event == "response")
            continue;
        server_run& run = runs[item.server];
        visit(run, item);
        if (item.event == "begin" || item.event == "exit")
            run = {};
        else if (item.event == "undrain")
            run.drain = nullptr;
        else if (item.event == "drain" || item.event == "draining")
            run.drain = run.drain ? run.drain : &item;
        else if (item.event == "start")
            run.unfinished_work.emplace(item.request, &item);
        else if (item.event == "finish")
        {
            auto const found = run.unfinished_work.find(item.request);
            if (found != run.unfinished_work.end())
                run.unfinished_work.erase(found);
        }
    }
}

/// Whether the caller received no complete response.
bool is_interrupted(record const& response)
{
    return response.reason == "cut" || response.reason == "lost" ||
           response.reason == "timed_out";
}

/// Finds interrupted requests among those that were open at a daemon at the
/// time of its graceful stop.
void check_daemon_stop(std::span<record const> records, record const& stop,
                       findings& out)
{
    std::map<std::string_view, record const*> sent;
    for (record const& item : records)
    {
        if (item.address != stop.address || item.address.empty())
            continue;
        if (item.event == "request" && item.time_us <= stop.time_us)
            sent[item.request] = &item;
        if (item.event != "response" || item.time_us < stop.time_us)
            continue;
        auto const request = sent.find(item.request);
        if (request == sent.end())
            continue;
        ++out.examined;
        if (is_interrupted(item))
            out.violations.push_back(
                {"a graceful stop of a daemon cut off a request",
                 {stop, *request->second, item}});
    }
}

using record_list = std::vector<record const*>;
using records_by_daemon = std::map<std::string_view, record_list>;

void check_no_revert(record_list const& versions, findings& out)
{
    for (std::size_t i = 1; i < versions.size(); ++i)
    {
        if (versions[i]->version < versions[i - 1]->version)
            out.violations.push_back({"a daemon went back to an older version",
                                      {*versions[i - 1], *versions[i]}});
    }
}

/// Time by which \p daemon must report the accepted version, in microseconds. A
/// daemon that is stopped or frozen before that time gets the full limit again
/// from its next start. Returns nothing when the daemon did not start again.
std::optional<std::int64_t> find_time_limit(std::span<record const> records,
                                            std::string_view daemon,
                                            record const& accepted,
                                            time_limits const& limits)
{
    std::int64_t time_limit_us = accepted.time_us + limits.config_time.count();
    bool is_stopped = false;
    for (record const& item : records)
    {
        if (item.daemon != daemon)
            continue;
        if (item.event == "daemon_stop")
            is_stopped = is_stopped || item.time_us <= time_limit_us;
        if (item.event == "daemon_start" && is_stopped)
        {
            time_limit_us = std::max(time_limit_us,
                                     item.time_us + limits.config_time.count());
            is_stopped = false;
        }
    }
    return is_stopped ? std::nullopt : std::optional(time_limit_us);
}

/// The daemon must report \p accepted or a later version in its first version
/// record after the time limit. A daemon without such a record must have
/// reported it before, unless it did not start again or the histories end
/// earlier.
void check_version_in_force(std::span<record const> records,
                            record_list const& versions, record const& accepted,
                            time_limits const& limits, findings& out)
{
    auto const time_limit_us =
        find_time_limit(records, versions.front()->daemon, accepted, limits);
    if (!time_limit_us)
        return;
    bool is_reported = false;
    for (record const* item : versions)
    {
        bool const is_current = item->version >= accepted.version;
        is_reported =
            is_reported || (is_current && item->time_us >= accepted.time_us);
        if (item->time_us <= *time_limit_us)
            continue;
        if (!is_current)
            out.violations.push_back(
                {"an accepted version is not in force within the bound",
                 {accepted, *item}});
        return;
    }
    bool const is_observed =
        !records.empty() && records.back().time_us > *time_limit_us;
    bool const has_early_record = versions.front()->time_us <= *time_limit_us;
    if (!is_reported && is_observed && has_early_record)
        out.violations.push_back({"an accepted version was never seen in force",
                                  {accepted, *versions.back()}});
}

void check_accepted_once(record_list const& accepted, findings& out)
{
    std::map<std::int64_t, record const*> first_records;
    for (record const* item : accepted)
    {
        auto const [first, is_new] = first_records.emplace(item->version, item);
        if (!is_new)
            out.violations.push_back(
                {"two patches were accepted as the same version",
                 {*first->second, *item}});
    }
}

} // namespace

findings check_floor(std::span<record const> records, time_limits const&)
{
    findings result;
    for (record const& item : records)
    {
        if (item.event != "ejections" || item.ejected <= 0)
            continue;
        ++result.examined;
        if (item.healthy_slots < item.floor_slots)
            result.violations.push_back(
                {fmt::format("ejections left {} healthy slots, the floor is {}",
                             item.healthy_slots, item.floor_slots),
                 {item}});
    }
    return result;
}

findings check_drain(std::span<record const> records, time_limits const& limits)
{
    findings result;
    track_servers(
        records,
        [&](server_run const& run, record const& item)
        {
            if (item.event == "drain" || item.event == "draining")
                ++result.examined;
            bool const is_work =
                item.event == "start" || item.event == "refused";
            if (!run.drain || !is_work)
                return;
            std::int64_t const arrived_us =
                item.arrived_us != 0 ? item.arrived_us : item.time_us;
            if (arrived_us > run.drain->time_us + limits.drain_time.count())
                result.violations.push_back(
                    {"a leaving server got new work", {*run.drain, item}});
        });
    return result;
}

findings check_graceful_stop(std::span<record const> records,
                             time_limits const&)
{
    findings result;
    track_servers(records,
                  [&](server_run const& run, record const& item)
                  {
                      if (item.event != "exit")
                          return;
                      ++result.examined;
                      for (auto const& [request, start] : run.unfinished_work)
                          result.violations.push_back(
                              {"a backend server left with unfinished work",
                               {*start, item}});
                  });
    for (record const& item : records)
    {
        if (item.event == "daemon_stop" && item.graceful.value_or(false))
            check_daemon_stop(records, item, result);
    }
    return result;
}

findings check_config(std::span<record const> records,
                      time_limits const& limits)
{
    findings result;
    records_by_daemon versions;
    record_list accepted;
    for (record const& item : records)
    {
        if (item.event == "version")
            versions[item.daemon].push_back(&item);
        if (item.event == "accepted")
            accepted.push_back(&item);
    }
    check_accepted_once(accepted, result);
    for (auto const& [daemon, list] : versions)
    {
        check_no_revert(list, result);
        for (record const* item : accepted)
        {
            ++result.examined;
            check_version_in_force(records, list, *item, limits, result);
        }
    }
    return result;
}

} // namespace gooseberrycove::check
