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

/// One run of a backend server, as far as it has come.
struct server_run
{
    /// Start of the drain, if one is under way.
    record const* drain = nullptr;
    /// Work that has started and not finished, by request id.
    std::multimap<std::string_view, record const*> open;
};

using server_runs = std::map<std::string_view, server_run>;

/// Follows the runs of the servers over the records. \p see is called as
/// see(run, record) before the record changes the run.
template <class See>
void follow_servers(std::span<record const> records, See see)
{
    server_runs runs;
    for (record const& item : records)
    {
        if (item.server.empty() || item.event == "response")
            continue;
        server_run& run = runs[item.server];
        see(run, item);
        if (item.event == "begin" || item.event == "exit")
            run = {};
        else if (item.event == "undrain")
            run.drain = nullptr;
        else if (item.event == "drain" || item.event == "draining")
            run.drain = run.drain ? run.drain : &item;
        else if (item.event == "start")
            run.open.emplace(item.request, &item);
        else if (item.event == "finish")
        {
            auto const found = run.open.find(item.request);
            if (found != run.open.end())
                run.open.erase(found);
        }
    }
}

/// Whether a caller was left without its whole response.
bool is_cut_off(record const& response)
{
    return response.reason == "cut" || response.reason == "lost" ||
           response.reason == "timed_out";
}

/// Requests that were open at one daemon at the time of its graceful stop.
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
        if (is_cut_off(item))
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

/// When \p daemon must show the version: a daemon that was stopped or frozen
/// before that time gets the whole bound again when it is back. Nothing when it
/// did not come back.
std::optional<std::int64_t> bound_of(std::span<record const> records,
                                     std::string_view daemon,
                                     record const& accepted,
                                     bounds const& limits)
{
    std::int64_t bound = accepted.time_us + limits.config.count();
    bool away = false;
    for (record const& item : records)
    {
        if (item.daemon != daemon)
            continue;
        if (item.event == "daemon_stop")
            away = away || item.time_us <= bound;
        if (item.event == "daemon_start" && away)
        {
            bound = std::max(bound, item.time_us + limits.config.count());
            away = false;
        }
    }
    return away ? std::nullopt : std::optional(bound);
}

/// The daemon must show \p accepted or a later version in its first record
/// after the bound. A daemon that is not seen after the bound must have shown
/// it before, unless it did not come back or the observation ended.
void check_in_force(std::span<record const> records,
                    record_list const& versions, record const& accepted,
                    bounds const& limits, findings& out)
{
    auto const bound =
        bound_of(records, versions.front()->daemon, accepted, limits);
    if (!bound)
        return;
    bool shown = false;
    for (record const* item : versions)
    {
        bool const current = item->version >= accepted.version;
        shown = shown || (current && item->time_us >= accepted.time_us);
        if (item->time_us <= *bound)
            continue;
        if (!current)
            out.violations.push_back(
                {"an accepted version is not in force within the bound",
                 {accepted, *item}});
        return;
    }
    bool const observed = !records.empty() && records.back().time_us > *bound;
    bool const known = versions.front()->time_us <= *bound;
    if (!shown && observed && known)
        out.violations.push_back({"an accepted version was never seen in force",
                                  {accepted, *versions.back()}});
}

void check_accepted_once(record_list const& accepted, findings& out)
{
    std::map<std::int64_t, record const*> seen;
    for (record const* item : accepted)
    {
        auto const [first, fresh] = seen.emplace(item->version, item);
        if (!fresh)
            out.violations.push_back(
                {"two patches were accepted as the same version",
                 {*first->second, *item}});
    }
}

} // namespace

findings check_floor(std::span<record const> records, bounds const&)
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

findings check_drain(std::span<record const> records, bounds const& limits)
{
    findings result;
    follow_servers(
        records,
        [&](server_run const& run, record const& item)
        {
            if (item.event == "drain" || item.event == "draining")
                ++result.examined;
            bool const work = item.event == "start" || item.event == "refused";
            if (!run.drain || !work)
                return;
            std::int64_t const arrived =
                item.arrived_us != 0 ? item.arrived_us : item.time_us;
            if (arrived > run.drain->time_us + limits.drain.count())
                result.violations.push_back(
                    {"a leaving server got new work", {*run.drain, item}});
        });
    return result;
}

findings check_graceful(std::span<record const> records, bounds const&)
{
    findings result;
    follow_servers(records,
                   [&](server_run const& run, record const& item)
                   {
                       if (item.event != "exit")
                           return;
                       ++result.examined;
                       for (auto const& [request, start] : run.open)
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

findings check_config(std::span<record const> records, bounds const& limits)
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
            check_in_force(records, list, *item, limits, result);
        }
    }
    return result;
}

} // namespace gooseberrycove::check
