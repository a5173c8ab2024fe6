#include "attempts.hpp"
#include "decisions.hpp"
#include "finish.hpp"
#include "loads.hpp"

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

void apply_statuses(routing_state& state, work_result const& result,
                    time_point now)
{
    for (server_status const& status : result.statuses)
    {
        auto const found = state.services.find(status.service);
        if (found == state.services.end())
            continue;
        found->second.probability_reports[status.server] = {
            status.failure_probability, now};
        record_statement(found->second.statements, status, now);
        for (members::candidate& candidate : found->second.candidates)
        {
            if (candidate.server != status.server ||
                candidate.home != result.home)
                continue;
            candidate.load_at = now;
            candidate.in_flight = status.in_flight;
            candidate.queued = status.queued;
            candidate.health = status.health;
            candidate.score = status.score;
        }
    }
}

/// Homes that apply a retry limit count all arrivals at the service. The budget
/// of this daemon counts only its own callers, so it is not used then.
bool may_retry(service_state& service, time_point now)
{
    return service.homes_limit_retries || take_retry(service.budget, now);
}

/// When the service's retry limit is expected to have room, if it is used up
/// and another attempt of the request would be a retry.
std::optional<time_point> awaited_retry_room(routing_state& state,
                                             request_state const& request,
                                             time_point now)
{
    if ((request.servers_reached == 0 && !has_open_attempt(request)) ||
        request.servers_reached >= request.max_servers_reached ||
        request.attempts.size() >= max_homes_for(request))
        return std::nullopt;
    return retry_room(service_of(state, request.service).limited_replies, now);
}

/// Names the retry limit as the reason of a failure that has not run, and when
/// it is expected to have room.
void state_retry_limit(request_state& request, time_point room_at,
                       time_point now)
{
    if (request.failure.run_outcome != outcome::not_run ||
        now >= request.deadline)
        return;
    request.failure.kind = error_kind::overloaded;
    request.failure.detail = "the retry limit of the service is used up";
    duration const wait = std::max(min_retry_after, room_at - now);
    if (request.retry_after.count() == 0 || wait < request.retry_after)
        request.retry_after = wait;
}

bool is_success(work_result const& result)
{
    return result.kind == error_kind::none &&
           result.run_outcome == outcome::ran && result.status < 500;
}

/// Whether another home may be tried after this failure.
/// \param has_reached_server  the request has reached a backend server, so that
///                            another attempt is a retry for the service
bool may_try_other_home(routing_state& state, request_state& request,
                        outcome run_outcome, bool has_reached_server,
                        time_point now)
{
    if (request.is_answered || has_open_attempt(request) || state.is_stopping)
        return false;
    if (awaited_retry_room(state, request, now))
        return false;
    if (run_outcome == outcome::not_run && !has_reached_server)
        return true;
    if (run_outcome != outcome::not_run && !request.repeatable)
        return false;
    return request.attempts.size() < max_homes_for(request) &&
           now < request.deadline &&
           may_retry(service_of(state, request.service), now);
}

/// Homes that may refuse a request for a reason that holds for its service; the
/// second one confirms it.
constexpr std::uint32_t max_service_wide_refusals = 2;

void on_failure(routing_state& state, request_state& request,
                work_result&& result, time_point now, actions& out)
{
    outcome const run_outcome = result.run_outcome;
    bool const has_reached_server = result.service_time.count() > 0;
    request.servers_reached +=
        has_reached_server || run_outcome != outcome::not_run ? 1 : 0;
    request.service_wide_refusals +=
        result.is_service_wide && run_outcome == outcome::not_run ? 1 : 0;
    std::string_view const reason = error_response_for(result.kind).name;
    keep_failure(request, std::move(result));
    if (request.current_phase == phase::running &&
        request.service_wide_refusals < max_service_wide_refusals &&
        may_try_other_home(state, request, run_outcome, has_reached_server,
                           now) &&
        start_attempt(state, request, event::request_retried, reason, now, out))
        return;
    if (has_open_attempt(request))
        return;
    if (auto const room_at = awaited_retry_room(state, request, now))
    {
        state_retry_limit(request, *room_at, now);
        event_line line(event::retry_withheld);
        line.field("request", request.original.caller_id)
            .field("service", request.service)
            .field("room_ms",
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       *room_at - now)
                       .count());
        out.log.push_back(std::move(line));
    }
    respond_failure(state, request, now, out);
}

/// Sets an error kind on a result that reports success although its outcome is
/// not `ran`.
void normalize(work_result& result)
{
    if (result.kind == error_kind::none && result.run_outcome != outcome::ran)
        result.kind = error_kind_for(error_kind::none, result.run_outcome);
}

/// Starts a second attempt while the first one is open.
void add_attempt(routing_state& state, request_state& request, bool is_hedge,
                 time_point now, actions& out)
{
    if (count_open_attempts(request) != 1 ||
        request.attempts.size() >= max_homes_for(request) ||
        request.servers_reached + 1 >= request.max_servers_reached ||
        awaited_retry_room(state, request, now))
        return;
    service_state& service = service_of(state, request.service);
    if (!(is_hedge ? take_hedge(service.budget, now) : may_retry(service, now)))
        return;
    start_attempt(state, request,
                  is_hedge ? event::request_hedged : event::request_retried,
                  is_hedge ? "slower_than_p95" : "no_answer", now, out);
}

void on_running_timer(routing_state& state, request_state& request,
                      time_point now, actions& out)
{
    if (now >= request.deadline + timeout_report_grace)
    {
        respond_timed_out(state, request, now, out);
        return;
    }
    if (now >= request.hedge_at)
    {
        request.hedge_at = never;
        add_attempt(state, request, true, now, out);
    }
    if (now >= request.unresponsive_at)
    {
        request.unresponsive_at = never;
        add_attempt(state, request, false, now, out);
    }
    set_timer(state, request,
              std::min({request.hedge_at, request.unresponsive_at,
                        request.deadline + timeout_report_grace}));
}

void on_timer(routing_state& state, request_state& request, time_point now,
              actions& out)
{
    switch (request.current_phase)
    {
    case phase::limiting:
        refuse(state, request, error_kind::overloaded,
               "the account's limit was not checked in time", out);
        break;
    case phase::claiming:
        // No work was sent, and a claim granted later is returned unused.
        respond_refusal(state, request, error_kind::store_unavailable,
                        "the claim was not granted in time", out);
        withdraw(state, request);
        break;
    case phase::withdrawn:
        break;
    case phase::running:
        on_running_timer(state, request, now, out);
        break;
    case phase::releasing:
        refuse(state, request, error_kind::outcome_unknown,
               "the claim was not removed in time", out);
        break;
    case phase::settling:
        settle_claim(state, request, out);
        break;
    }
}

} // namespace

void on_result(routing_state& state, work_result&& result, time_point now,
               actions& out)
{
    apply_statuses(state, result, now);
    if (result.home.id != 0)
        record_reply(state.evidence, result.home.id);
    auto const found = state.requests.find(result.id);
    if (found == state.requests.end())
    {
        ++state.dropped_results;
        return;
    }
    request_state& request = found->second;
    apply_siblings(service_of(state, request.service).candidates,
                   result.siblings, now);
    auto const attempt =
        std::find_if(request.attempts.begin(), request.attempts.end(),
                     [&](attempt_state const& item)
                     { return item.number == result.attempt && item.is_open; });
    if (attempt == request.attempts.end())
    {
        ++state.dropped_results;
        return;
    }
    if (result.home.id == 0 && attempt->home != state.own_daemon)
        record_unresponsive(state.evidence, attempt->home.id,
                            no_response_penalty, now);
    if (attempt->is_limited && result.home.id != 0)
        record_retry_reply(service_of(state, request.service).limited_replies,
                           result.home.id,
                           result.run_outcome == outcome::not_run &&
                               result.detail == admission::retry_limit_reason,
                           result.retry_after, now);
    close_attempt(state, request, *attempt);
    normalize(result);
    if (result.run_outcome == outcome::ran && result.service_time.count() > 0)
    {
        record_answer(state.route_answers, request.route, result.body.size(),
                      result.service_time);
        record_path(state.delays, attempt->is_other_data_centre,
                    now - attempt->sent_at, result.service_time);
    }
    if (!is_success(result))
    {
        on_failure(state, request, std::move(result), now, out);
        return;
    }
    add_latency(service_of(state, request.service).latency,
                now - attempt->sent_at);
    respond_success(state, request, std::move(result), now, out);
}

time_point on_tick(routing_state& state, time_point now, actions& out)
{
    while (!state.timers.empty() && state.timers.begin()->first <= now)
    {
        request_id const id = state.timers.begin()->second;
        on_timer(state, state.requests.at(id), now, out);
    }
    return state.timers.empty() ? now + std::chrono::seconds(1)
                                : state.timers.begin()->first;
}

} // namespace gooseberrycove::routing
