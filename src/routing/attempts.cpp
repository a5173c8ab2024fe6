#include "attempts.hpp"

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

std::vector<daemon_ref> list_tried_homes(request_state const& request)
{
    std::vector<daemon_ref> homes;
    for (attempt_state const& attempt : request.attempts)
        homes.push_back(attempt.home);
    return homes;
}

struct attempt_target
{
    choice chosen;
    std::string address;
};

/// Whether an attempt before the newest one has reached a server or still may.
bool is_retry(request_state const& request)
{
    return count_open_attempts(request) + request.servers_reached > 1;
}

/// The next untried home that the claim names and that has a usable server.
attempt_target next_claimed_target(service_state const& service,
                                   request_state const& request,
                                   std::span<standing const> standings)
{
    std::vector<daemon_ref> const tried = list_tried_homes(request);
    for (claims::claim_home const& home : request.claim_result.homes)
    {
        if (std::find(tried.begin(), tried.end(), home.daemon) != tried.end())
            continue;
        members::candidate const* best = nullptr;
        standing best_standing = standing::ejected;
        for (std::size_t i = 0; i < standings.size(); ++i)
        {
            members::candidate const& candidate = service.candidates[i];
            if (candidate.home != home.daemon ||
                standings[i] >= best_standing ||
                candidate.health == health_state::probation)
                continue;
            best = &candidate;
            best_standing = standings[i];
        }
        if (best)
            return {{best, "named_in_claim", standings.size() - 1},
                    home.address};
    }
    return {};
}

std::optional<double> crossing_cost_of(routing_state const& state,
                                       request_state const& request,
                                       time_point now)
{
    auto const local_failures = std::ranges::count_if(
        request.attempts, [](attempt_state const& attempt)
        { return !attempt.is_open && !attempt.is_other_data_centre; });
    return crossing_cost_for(state, request.route, request.original.body.size(),
                             request.deadline - now,
                             static_cast<std::size_t>(local_failures));
}

attempt_target next_target(routing_state& state, service_state const& service,
                           request_state const& request,
                           assessment const& assessed, time_point now)
{
    if (request.needs_claim)
        return next_claimed_target(service, request, assessed.standings);
    std::vector<daemon_ref> const tried = list_tried_homes(request);
    choice const chosen =
        choose({service.candidates, assessed.standings, service.outstanding,
                tried, state.data_centre, request.repeatable,
                tried.empty() && request.max_servers_reached > 1,
                assessed.failure_probabilities, assessed.start_waits,
                crossing_cost_of(state, request, now)},
               state.random);
    return {chosen,
            chosen.candidate ? chosen.candidate->home_address : std::string()};
}

work_request make_work_request(routing_state const& state,
                               request_state const& request,
                               attempt_state const& attempt)
{
    work_request work;
    work.id = request.original.id;
    work.caller_id = request.original.caller_id;
    work.attempt = attempt.number;
    work.account = request.account;
    work.service = request.service;
    work.route = request.route;
    work.priority = request.priority;
    work.repeatable = request.repeatable;
    work.method = request.original.method;
    work.target = request.original.target;
    work.content_type = request.original.content_type;
    work.headers = request.original.headers;
    work.body = request.original.body;
    work.idempotency_key = request.original.idempotency_key;
    work.traceparent = request.original.traceparent;
    work.caller_service = state.caller_service;
    work.deadline = request.deadline;
    work.received = request.original.received;
    work.claim = request.claim_result.claim;
    work.server = attempt.server;
    work.home = attempt.home;
    work.origin = state.own_daemon;
    work.origin_address = state.own_address;
    return work;
}

event_line routed_line(request_state const& request, event id,
                       std::string_view reason, attempt_target const& target)
{
    event_line line(id);
    line.field("request", request.original.caller_id)
        .field("service", request.service)
        .field("priority", request.priority_name)
        .field("account", request.account)
        .field("server", target.chosen.candidate->server)
        .field("home", target.address)
        .field("attempt", static_cast<unsigned>(request.attempts.size()))
        .field("reason", reason.empty() ? target.chosen.reason : reason)
        .field("doubt", target.chosen.failure_probability)
        .field("passed_over",
               static_cast<std::uint64_t>(target.chosen.passed_over))
        .routine(id == event::request_routed);
    return line;
}

} // namespace

std::optional<double> crossing_cost_for(routing_state const& state,
                                        std::string_view route,
                                        std::size_t body_bytes,
                                        duration time_left,
                                        std::size_t local_failures)
{
    if (state.cross_data_centre_cost <= 0)
        return std::nullopt;
    return crossing_cost({state.cross_data_centre_cost, body_bytes,
                          means_of(state.route_answers, route), time_left,
                          added_seconds(state.delays), local_failures});
}

service_state& service_of(routing_state& state, std::string_view name)
{
    auto const entry = state.services.find(name);
    if (entry != state.services.end())
        return entry->second;
    return state.services[std::string(name)];
}

assessment assess(service_state const& service, home_evidence const& evidence,
                  time_point now)
{
    std::uint32_t const floor = effective_floor(
        service.candidates, service.floor_slots, service.floor_share);
    assessment assessed = assess(service.candidates, floor, evidence, now);
    assessed.failure_probabilities = apply_failure_probabilities(
        service.candidates, service.probability_reports, now,
        assessed.standings);
    assessed.start_waits =
        start_waits(service.candidates, service.statements, now);
    return assessed;
}

/// Whether the request may be sent to another home that was not tried yet.
bool has_other_home(service_state const& service, request_state const& request,
                    assessment const& assessed)
{
    if (request.attempts.size() >= max_homes_for(request))
        return false;
    std::vector<daemon_ref> const tried = list_tried_homes(request);
    auto const is_untried = [&](daemon_ref const& home)
    { return std::find(tried.begin(), tried.end(), home) == tried.end(); };
    if (request.needs_claim)
        return std::any_of(request.claim_result.homes.begin(),
                           request.claim_result.homes.end(),
                           [&](claims::claim_home const& home)
                           { return is_untried(home.daemon); });
    for (std::size_t i = 0; i < assessed.standings.size(); ++i)
    {
        if (assessed.standings[i] == standing::healthy &&
            is_untried(service.candidates[i].home))
            return true;
    }
    return false;
}

bool start_attempt(routing_state& state, request_state& request, event id,
                   std::string_view reason, time_point now, actions& out)
{
    if (request.attempts.size() >= max_homes_for(request) ||
        request.servers_reached >= request.max_servers_reached ||
        now >= request.deadline)
        return false;
    service_state& service = service_of(state, request.service);
    assessment const assessed = assess(service, state.evidence, now);
    attempt_target const target =
        next_target(state, service, request, assessed, now);
    if (!target.chosen.candidate)
        return false;
    members::candidate const& candidate = *target.chosen.candidate;
    request.attempts.push_back(
        {static_cast<std::uint32_t>(request.attempts.size() + 1),
         candidate.server, candidate.home, target.address, now, true,
         candidate.home_data_centre != state.data_centre});
    bool const is_other = request.attempts.back().is_other_data_centre;
    ++service.outstanding[candidate.server];
    out.log.push_back(routed_line(request, id, reason, target));
    work_request work =
        make_work_request(state, request, request.attempts.back());
    work.accepted_failure_probability = target.chosen.failure_probability;
    work.is_retry = is_retry(request);
    work.retry_weight = work.is_retry ? 1 : request.retry_weight;
    request.attempts.back().is_limited = work.retry_weight > 0;
    work.retry_limit_servers = count_retry_limit_servers(assessed);
    auto const statement = service.statements.find(candidate.server);
    if (statement != service.statements.end())
        work.statement = statement->second.statement;
    work.has_other_homes = has_other_home(service, request, assessed);
    out.home_messages.push_back(
        {target.address, candidate.home == state.own_daemon, std::move(work),
         is_other ? peer::scope::other_data_centre
                  : peer::scope::same_data_centre});
    return true;
}

std::vector<claims::claim_home> claimable_homes(routing_state& state,
                                                request_state const& request,
                                                time_point now)
{
    service_state const& service = service_of(state, request.service);
    assessment const assessed = assess(service, state.evidence, now);
    std::vector<claims::claim_home> homes;
    std::vector<daemon_ref> named_homes;
    while (homes.size() < max_homes)
    {
        choice const next =
            choose({service.candidates, assessed.standings, service.outstanding,
                    named_homes, state.data_centre, false, false,
                    assessed.failure_probabilities, assessed.start_waits,
                    crossing_cost_of(state, request, now)},
                   state.random);
        if (!next.candidate)
            break;
        named_homes.push_back(next.candidate->home);
        homes.push_back({next.candidate->home, next.candidate->home_address});
    }
    return homes;
}

std::size_t count_open_attempts(request_state const& request)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(request.attempts, &attempt_state::is_open));
}

bool has_open_attempt(request_state const& request)
{
    return count_open_attempts(request) > 0;
}

void close_attempt(routing_state& state, request_state& request,
                   attempt_state& attempt)
{
    if (!attempt.is_open)
        return;
    attempt.is_open = false;
    service_state& service = service_of(state, request.service);
    auto const outstanding = service.outstanding.find(attempt.server);
    if (outstanding == service.outstanding.end())
        return;
    if (--outstanding->second == 0)
        service.outstanding.erase(outstanding);
}

void cancel_open_attempts(routing_state& state, request_state& request,
                          actions& out)
{
    for (attempt_state& attempt : request.attempts)
    {
        if (!attempt.is_open)
            continue;
        out.home_messages.push_back(
            {attempt.home_address, attempt.home == state.own_daemon,
             admission::cancel{request.original.id, attempt.number,
                               state.own_daemon}});
        close_attempt(state, request, attempt);
    }
}

void set_timer(routing_state& state, request_state& request, time_point due)
{
    if (request.timer)
        state.timers.erase(*request.timer);
    request.timer.reset();
    if (due != never)
        request.timer = state.timers.emplace(due, request.original.id);
}

void erase_request(routing_state& state, request_id id)
{
    auto const entry = state.requests.find(id);
    if (entry == state.requests.end())
        return;
    for (attempt_state& attempt : entry->second.attempts)
        close_attempt(state, entry->second, attempt);
    set_timer(state, entry->second, never);
    state.requests.erase(entry);
}

} // namespace gooseberrycove::routing
