#include "refuse.hpp"

#include "schedule.hpp"
#include "siblings.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

decision make_decision(admission_state const& state, event event_id,
                       work_request const& request, std::string_view server,
                       std::string_view reason)
{
    decision entry;
    entry.event_id = event_id;
    entry.caller_id = request.caller_id;
    entry.service = request.service;
    entry.priority = request.priority;
    entry.server = server;
    entry.reason = reason;
    entry.accepted_failure_probability = request.accepted_failure_probability;
    entry.received = request.received;
    entry.is_retry = request.is_retry;
    entry.retry_weight = request.retry_weight;
    entry.retry_limit_servers = request.retry_limit_servers;
    auto const found = state.servers.find(entry.server);
    if (found == state.servers.end())
        return entry;
    entry.in_flight = found->second.in_flight;
    entry.queued = found->second.queued;
    entry.failure_probability = found->second.failure.probability;
    return entry;
}

namespace
{

constexpr std::string_view calls_failing = "calls_failing";

/// Completes the newest result, a refusal that holds for all homes of its
/// service.
void mark_service_wide(actions& out, duration wait)
{
    ++out.failing_call_refusals;
    work_result& result = out.results.back().result;
    result.is_service_wide = true;
    result.retry_after = std::max(result.retry_after, wait);
}

server_status status_of(homed_server_state const& server, time_point now)
{
    server_status status = server.status;
    status.server = server.name;
    status.service = server.service;
    status.slots = static_cast<std::uint32_t>(server.limit.slots);
    status.in_flight = server.in_flight;
    status.queued = server.queued;
    status.failure_probability = server.failure.probability;
    status.statement = server.stated_limit.statement;
    status.start_wait = time_to_start(server.stated_limit, server.queued, now);
    return status;
}

} // namespace

work_result make_result(admission_state const& state,
                        work_request const& request, error_kind kind,
                        outcome run_outcome, time_point now)
{
    work_result result;
    result.id = request.id;
    result.attempt = request.attempt;
    result.kind = kind;
    result.run_outcome = run_outcome;
    result.server = request.server;
    result.home = state.own_daemon;
    auto const service = state.services.find(request.service);
    if (service == state.services.end())
        return result;
    for (std::string const& name : service->second.servers)
        result.statuses.push_back(status_of(state.servers.at(name), now));
    return result;
}

void refuse(admission_state const& state, work_request const& request,
            error_kind kind, std::string_view reason, time_point now,
            actions& out)
{
    outcome const run_outcome = kind == error_kind::cancelled
                                    ? outcome::not_run
                                    : error_response_for(kind).run_outcome;
    work_result result = make_result(state, request, kind, run_outcome, now);
    result.status = error_response_for(kind).status;
    result.detail = reason;
    auto const view = state.views.find(request.service);
    if (view != state.views.end() && run_outcome == outcome::not_run)
        result.siblings = find_spare_siblings(*view->second, state.own_daemon,
                                              state.max_siblings, now);
    auto const server = state.servers.find(request.server);
    if (server != state.servers.end())
        result.retry_after = time_to_start(server->second.stated_limit,
                                           server->second.queued, now);
    out.decisions.push_back(make_decision(state, event::work_refused, request,
                                          request.server, reason));
    out.results.push_back(
        {request.origin, request.origin_address, std::move(result)});
}

void adjust_queued(admission_state& state, std::string const& server,
                   int change)
{
    auto const found = state.servers.find(server);
    if (found == state.servers.end())
        return;
    found->second.queued += static_cast<std::uint32_t>(change);
    found->second.has_unreported_load = true;
}

void refuse_queued(admission_state& state, service_state& service,
                   work_request&& entry, error_kind kind,
                   std::string_view reason, time_point now, actions& out)
{
    --service.queued;
    adjust_queued(state, entry.server, -1);
    refuse(state, entry, kind, reason, now, out);
    // With outcome_unknown, the fence has settled the claim already.
    if (!entry.claim.id.empty() && kind != error_kind::outcome_unknown)
        record_claim_result(state.claims, entry.claim,
                            out.results.back().result, now);
}

void refuse_matching(admission_state& state, service_state& service,
                     entry_predicate const& matches, error_kind kind,
                     std::string_view reason, time_point now, actions& out)
{
    for (priority_state& priority : service.priorities)
    {
        for (std::size_t i = priority.queue.entries.size(); i > 0; --i)
        {
            if (!matches(priority.queue.entries[i - 1]))
                continue;
            refuse_queued(state, service, remove_at(priority.queue, i - 1),
                          kind, reason, now, out);
        }
    }
}

void refuse_for_calls(admission_state const& state, work_request const& request,
                      duration wait, time_point now, actions& out)
{
    refuse(state, request, error_kind::overloaded, calls_failing, now, out);
    mark_service_wide(out, wait);
}

void refuse_queued_for_calls(admission_state& state, service_state& service,
                             priority_index priority, time_point now,
                             actions& out)
{
    priority_state& affected = service.priorities[priority];
    duration const wait = time_to_trial(affected.calls, now);
    for (std::size_t i = affected.queue.entries.size(); i > 0; --i)
    {
        if (affected.queue.entries[i - 1].repeatable)
            continue;
        refuse_queued(state, service, remove_at(affected.queue, i - 1),
                      error_kind::overloaded, calls_failing, now, out);
        mark_service_wide(out, wait);
    }
}

void refuse_unservable(admission_state& state, service_state& service,
                       error_kind kind, std::string_view reason, time_point now,
                       actions& out)
{
    entry_predicate const is_unservable = [&](work_request const& request)
    {
        return std::ranges::none_of(
            service.servers,
            [&](std::string const& name)
            {
                bool const is_allowed =
                    request.server.empty() || request.server == name;
                return is_allowed &&
                       accepts_work(state.servers.at(name), request.repeatable);
            });
    };
    refuse_matching(state, service, is_unservable, kind, reason, now, out);
}

} // namespace gooseberrycove::admission
