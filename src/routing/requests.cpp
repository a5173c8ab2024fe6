#include "attempts.hpp"
#include "authenticate.hpp"
#include "decisions.hpp"
#include "finish.hpp"
#include "loads.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gooseberrycove::routing
{

namespace
{

refusal check_request(routing_state& state, caller_request const& original,
                      lookup_result const& lookup, time_point now)
{
    using enum error_kind;
    if (state.requests.size() >= state.in_flight_limit)
        return {overloaded, "too many requests in flight at this daemon"};
    if (state.is_stopping)
        return {draining, "shutting down"};
    if (!lookup.is_configured)
        return {no_configuration, "no configuration was read yet"};
    if (lookup.route && lookup.route->is_open)
        return lookup.route->service.empty()
                   ? refusal{no_server, "the route has no usable service"}
                   : refusal{};
    if (!lookup.route && !lookup.has_accounts)
        return {no_route, "no route matches"};
    refusal const account = check_account(state, original, lookup, now);
    if (account.kind != none)
        return account;
    if (!lookup.route)
        return {no_route, "no route matches"};
    if (!lookup.route->repeatable && !lookup.route->is_unclaimed &&
        original.idempotency_key.empty())
        return {bad_request, "this route needs an Idempotency-Key header"};
    return {};
}

request_state make_request(caller_request&& original,
                           lookup_result const& lookup)
{
    request_state new_request;
    new_request.original = std::move(original);
    // An open route has no account, whatever the caller sent.
    if (lookup.account && !(lookup.route && lookup.route->is_open))
        new_request.account = lookup.account->name;
    if (!lookup.route)
        return new_request;
    new_request.is_unclaimed =
        lookup.route->is_open || lookup.route->is_unclaimed;
    new_request.service = lookup.route->service;
    new_request.route = lookup.route->name;
    new_request.priority_name = lookup.priority_name;
    new_request.priority = lookup.route->priority;
    new_request.repeatable = lookup.route->repeatable;
    new_request.needs_claim =
        !new_request.repeatable && !new_request.is_unclaimed;
    new_request.max_servers_reached = lookup.route->attempts;
    duration allowed = lookup.route->timeout;
    if (new_request.original.time_allowed.count() > 0)
        allowed = std::min(allowed, new_request.original.time_allowed);
    new_request.deadline = new_request.original.received + allowed;
    return new_request;
}

std::uint64_t hash_of(request_state const& request)
{
    caller_request const& original = request.original;
    std::uint64_t hash = hash_name(original.method);
    for (std::string const* part :
         {&original.target, &original.content_type, &original.body})
        hash = XXH64(part->data(), part->size(), hash);
    return hash;
}

void request_claim(routing_state& state, request_state& request, time_point now,
                   actions& out)
{
    std::vector<claims::claim_home> homes =
        claimable_homes(state, request, now);
    if (homes.empty())
    {
        refuse(state, request, error_kind::no_server,
               "no backend server is eligible", out);
        return;
    }
    request.current_phase = phase::claiming;
    set_timer(state, request, request.deadline + timeout_report_grace);
    out.claim_messages.push_back(claims::claim_request{
        request.original.id, request.account, request.original.idempotency_key,
        hash_of(request), std::move(homes), request.deadline});
}

/// Sets the times of the hedge and of the retry for an unresponsive home.
void set_attempt_timers(routing_state& state, request_state& request,
                        time_point now)
{
    if (request.repeatable)
    {
        auto const latency_p95 =
            percentile_95(service_of(state, request.service).latency);
        request.hedge_at = latency_p95 ? now + *latency_p95 : never;
        request.unresponsive_at = now + (request.deadline - now) / 2;
    }
    set_timer(state, request,
              std::min({request.hedge_at, request.unresponsive_at,
                        request.deadline + timeout_report_grace}));
}

void start_first_attempt(routing_state& state, request_state& request,
                         time_point now, actions& out)
{
    request.current_phase = phase::running;
    if (start_attempt(state, request, event::request_routed, {}, now, out))
    {
        set_attempt_timers(state, request, now);
        return;
    }
    if (!request.needs_claim)
    {
        refuse(state, request, error_kind::no_server,
               "no backend server is eligible", out);
        return;
    }
    work_result not_run_result;
    not_run_result.id = request.original.id;
    not_run_result.kind = now >= request.deadline ? error_kind::deadline_unmet
                                                  : error_kind::no_server;
    not_run_result.run_outcome = outcome::not_run;
    not_run_result.detail = "no home of the claim could be tried";
    keep_failure(request, std::move(not_run_result));
    respond_failure(state, request, now, out);
}

void begin(routing_state& state, request_state& request, time_point now,
           actions& out)
{
    if (request.needs_claim)
        request_claim(state, request, now, out);
    else
        start_first_attempt(state, request, now, out);
}

void request_token(routing_state& state, request_state& request,
                   config::account_view const& account, time_point now,
                   actions& out)
{
    request.current_phase = phase::limiting;
    set_timer(state, request, now + max_token_wait);
    out.limit_messages.push_back(account_limit::token_request{
        request.original.id, request.account, account.rate, account.burst});
}

} // namespace

refusal check_account(routing_state& state, caller_request const& original,
                      lookup_result const& lookup, time_point now)
{
    bool const is_known =
        lookup.account_key
            ? is_authenticated(*lookup.account_key, lookup.account)
            : is_authenticated(original.credentials, lookup.account);
    if (!is_known && !lookup.is_current)
        return {error_kind::no_configuration,
                "a newer configuration may have this key"};
    if (!is_known)
        return {error_kind::unauthenticated, "unknown account or wrong secret"};
    if (!state.has_fleet_limits &&
        !take_token(state.account_limiter, *lookup.account, now))
        return {error_kind::rate_limited,
                "the account's token bucket is empty"};
    return {};
}

void on_caller_request(routing_state& state, caller_request&& original,
                       lookup_result const& lookup, time_point now,
                       actions& out)
{
    request_id const id = original.id;
    auto const earlier = state.requests.find(id);
    if (earlier != state.requests.end())
    {
        event_line line(event::request_refused);
        line.field("request", original.caller_id).field("reason", "id_in_use");
        out.log.push_back(std::move(line));
        // While the first caller waits, a response with this id would be
        // delivered to that caller.
        if (earlier->second.is_answered)
            out.responses.push_back(
                {id,
                 original.caller_id,
                 error_kind::in_progress,
                 "an earlier request with this id is not settled",
                 {}});
        return;
    }
    refusal const refused = check_request(state, original, lookup, now);
    request_state new_request = make_request(std::move(original), lookup);
    new_request.retry_weight = state.local_retry_share;
    if (refused.kind != error_kind::none)
    {
        refuse(state, new_request, refused.kind, refused.detail, out);
        return;
    }
    if (now >= new_request.deadline)
    {
        refuse(state, new_request, error_kind::deadline_unmet,
               "the deadline has passed", out);
        return;
    }
    service_state& service = service_of(state, new_request.service);
    service.floor_slots = lookup.floor_slots;
    service.floor_share = lookup.floor_share;
    service.homes_limit_retries = lookup.homes_limit_retries;
    count_request(service.budget, now);
    request_state& request =
        state.requests.emplace(id, std::move(new_request)).first->second;
    if (state.has_fleet_limits && !request.account.empty() &&
        lookup.account->rate > 0)
        request_token(state, request, *lookup.account, now, out);
    else
        begin(state, request, now, out);
}

void on_token_decision(routing_state& state,
                       account_limit::token_decision const& decision,
                       time_point now, actions& out)
{
    auto const found = state.requests.find(decision.id);
    if (found == state.requests.end() ||
        found->second.current_phase != phase::limiting)
    {
        if (decision.granted && !decision.account.empty())
            out.limit_messages.push_back(
                account_limit::token_return{decision.account});
        return;
    }
    request_state& request = found->second;
    request.has_token = decision.granted;
    if (state.is_stopping)
        refuse(state, request, error_kind::draining, "shutting down", out);
    else if (now >= request.deadline)
        refuse(state, request, error_kind::deadline_unmet,
               "the deadline has passed", out);
    else if (decision.granted)
        begin(state, request, now, out);
    else
    {
        request.retry_after = decision.retry_after;
        refuse(state, request, error_kind::rate_limited,
               "the account's limit is reached", out);
    }
}

void on_claim_result(routing_state& state, claims::claim_result&& result,
                     time_point now, actions& out)
{
    bool const granted = result.kind == error_kind::none && !result.is_replay;
    auto const found = state.requests.find(result.id);
    if (found == state.requests.end())
        return;
    request_state& request = found->second;
    if (request.current_phase == phase::withdrawn)
    {
        request.claim_result = std::move(result);
        if (granted)
            return_claim(state, request, out);
        else
            erase_request(state, request.original.id);
        return;
    }
    if (request.current_phase != phase::claiming)
        return;
    if (result.is_replay)
    {
        return_token(request, out);
        request.failure = std::move(result.recorded);
        respond_failure(state, request, now, out);
        return;
    }
    if (!granted)
    {
        refuse(state, request, result.kind, result.detail, out);
        return;
    }
    request.claim_result = std::move(result);
    start_first_attempt(state, request, now, out);
}

void on_claim_released(routing_state& state,
                       claims::claim_released const& released, time_point,
                       actions& out)
{
    auto const found = state.requests.find(released.id);
    if (found == state.requests.end() ||
        found->second.current_phase != phase::releasing)
        return;
    request_state& request = found->second;
    if (released.is_confirmed)
    {
        error_kind const kind =
            error_kind_for(request.failure.kind, outcome::not_run);
        refuse(state, request, kind, request.failure.detail, out);
        return;
    }
    refuse(state, request, error_kind::outcome_unknown,
           "the claim could not be removed", out);
}

void on_caller_disconnected(routing_state& state,
                            caller_disconnected const& disconnected, time_point,
                            actions& out)
{
    auto const found = state.requests.find(disconnected.id);
    if (found == state.requests.end())
        return;
    request_state& request = found->second;
    if (request.current_phase == phase::limiting)
    {
        erase_request(state, disconnected.id);
        return;
    }
    // Claimed work continues, so that its result is recorded for a later
    // request with the same key.
    if (request.needs_claim)
    {
        request.is_answered = true;
        if (request.current_phase == phase::claiming)
            withdraw(state, request);
        return;
    }
    cancel_open_attempts(state, request, out);
    erase_request(state, disconnected.id);
}

void on_refuse_unstarted(routing_state& state, actions& out)
{
    state.is_stopping = true;
    for (auto const& [id, request] : state.requests)
    {
        if (request.needs_claim || request.is_answered)
            continue;
        for (attempt_state const& attempt : request.attempts)
        {
            if (attempt.is_open)
                out.home_messages.push_back(
                    {attempt.home_address, attempt.home == state.own_daemon,
                     admission::cancel{id, attempt.number, state.own_daemon,
                                       true}});
        }
    }
}

void on_service_view(routing_state& state, members::service_view const& view)
{
    service_state& service = service_of(state, view.service);
    std::vector<members::candidate> const known =
        std::exchange(service.candidates, view.candidates);
    if (state.keeps_newer_loads)
        keep_newer_loads(service.candidates, known);
    auto const is_unlisted = [&](auto const& report)
    {
        return std::ranges::none_of(view.candidates,
                                    [&](members::candidate const& candidate) {
                                        return candidate.server == report.first;
                                    });
    };
    std::erase_if(service.probability_reports, is_unlisted);
    std::erase_if(service.statements, is_unlisted);
}

} // namespace gooseberrycove::routing
