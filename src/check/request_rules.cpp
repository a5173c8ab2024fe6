#include "check/rules.hpp"

#include <unordered_map>

namespace gooseberrycove::check
{

namespace
{

using evidence::record;

/// Records by request id or by key.
using record_index =
    std::unordered_map<std::string_view, std::vector<record const*>>;

/// Records of one event, indexed by a member. Records with an empty member are
/// left out.
record_index index_by(std::span<record const> records, std::string_view event,
                      std::string record::*member)
{
    record_index result;
    for (record const& item : records)
    {
        if (item.event == event && !(item.*member).empty())
            result[item.*member].push_back(&item);
    }
    return result;
}

void add_violation(findings& out, std::string_view description,
                   std::span<record const* const> records)
{
    violation added{std::string(description), {}};
    for (record const* item : records)
        added.records.push_back(*item);
    out.violations.push_back(std::move(added));
}

void check_response(record const& response, findings& out)
{
    record const* const involved[]{&response};
    if (response.complete == false)
        add_violation(out, "the response is not whole", involved);
    if (response.own == false)
        add_violation(out, "the response is another request's", involved);
}

/// Keyed work may get the recorded response of an earlier attempt, so it is
/// identified by its key; other work is identified by its request id.
void check_request_ran(record const& response, record_index const& starts,
                       record_index const& keyed_starts, findings& out)
{
    if (response.outcome != "ran")
        return;
    bool const was_started =
        starts.contains(response.request) ||
        (!response.key.empty() && keyed_starts.contains(response.key));
    if (was_started)
        return;
    record const* const involved[]{&response};
    add_violation(out, "no backend server has run the answered request",
                  involved);
}

} // namespace

findings check_responses(std::span<record const> records, time_limits const&)
{
    findings result;
    auto const requests = index_by(records, "request", &record::request);
    auto const responses = index_by(records, "response", &record::request);
    auto const starts = index_by(records, "start", &record::request);
    auto const keyed_starts = index_by(records, "start", &record::key);
    for (record const& item : records)
    {
        if (item.event != "response")
            continue;
        ++result.examined;
        check_response(item, result);
        record const* const involved[]{&item};
        if (!requests.contains(item.request))
            add_violation(result, "the response answers no request", involved);
        if (!starts.empty())
            check_request_ran(item, starts, keyed_starts, result);
    }
    for (auto const& [request, items] : responses)
    {
        if (items.size() > 1)
            add_violation(result, "one request has several responses", items);
    }
    return result;
}

findings check_not_run(std::span<record const> records, time_limits const&)
{
    findings result;
    auto const starts = index_by(records, "start", &record::request);
    for (record const& item : records)
    {
        if (item.event != "response" || item.outcome != "not_run")
            continue;
        ++result.examined;
        auto const found = starts.find(item.request);
        if (found == starts.end())
            continue;
        std::vector<record const*> involved{&item};
        involved.insert(involved.end(), found->second.begin(),
                        found->second.end());
        add_violation(result, "the request was reported not run, but it ran",
                      involved);
    }
    return result;
}

findings check_at_most_once(std::span<record const> records, time_limits const&)
{
    findings result;
    for (auto const& [key, items] : index_by(records, "start", &record::key))
    {
        ++result.examined;
        if (items.size() > 1)
            add_violation(result, "non-repeatable work ran several times",
                          items);
    }
    return result;
}

} // namespace gooseberrycove::check
