#include "attempts.hpp"
#include "decisions.hpp"

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

void refuse_lookup(explanation& result, error_kind kind, std::string detail)
{
    if (result.kind != error_kind::none)
        return;
    result.kind = kind;
    result.detail = std::move(detail);
}

void check_lookup(lookup_result const& lookup, explain_request const& request,
                  explanation& result)
{
    bool const is_open = lookup.route && lookup.route->is_open;
    if (!lookup.is_configured)
        refuse_lookup(result, error_kind::no_configuration,
                      "no configuration was read yet");
    if (!lookup.account && !request.account.empty())
        refuse_lookup(result, error_kind::unauthenticated,
                      "unknown account '" + request.account + "'");
    if (!lookup.route)
        refuse_lookup(result, error_kind::no_route,
                      "no route matches " + request.method + ' ' +
                          request.host + request.path);
    if (!lookup.account && !is_open && lookup.has_accounts)
        refuse_lookup(result, error_kind::unauthenticated,
                      "the route needs an account");
    if (lookup.route && lookup.route->service.empty())
        refuse_lookup(result, error_kind::no_server,
                      "the route has no usable service");
}

void describe_account(routing_state const& state, lookup_result const& lookup,
                      time_point now, explanation& result)
{
    if (!lookup.account)
        return;
    result.account = lookup.account->name;
    result.account_rate = lookup.account->rate;
    result.account_burst = lookup.account->burst;
    result.account_tokens =
        find_tokens(state.account_limiter, *lookup.account, now);
}

/// Finds the first rule of on_caller_request() and of the front that refuses.
void find_entry_refusal(routing_state const& state, lookup_result const& lookup,
                        std::size_t body_bytes, explanation& result)
{
    auto const refuse_by = [&](error_kind kind, std::string_view rule)
    {
        if (result.entry_refusal != error_kind::none)
            return;
        result.entry_refusal = kind;
        result.entry_rule = rule;
    };
    if (result.max_body_bytes > 0 && body_bytes > result.max_body_bytes)
        refuse_by(error_kind::too_large, "max_body_bytes");
    if (state.requests.size() >= state.in_flight_limit)
        refuse_by(error_kind::overloaded, "requests in flight");
    if (state.is_stopping)
        refuse_by(error_kind::draining, "shutting down");
    bool const is_limited = !lookup.route->is_open && result.account_tokens;
    if (is_limited && *result.account_tokens < 1)
        refuse_by(error_kind::rate_limited, "account rate");
}

void describe_route(lookup_result const& lookup, explanation& result)
{
    config::route_view const& route = *lookup.route;
    result.route = route.name;
    result.service = route.service;
    result.priority = lookup.priority_name;
    result.repeatable = route.repeatable;
    result.timeout = route.timeout;
    result.attempts = route.attempts;
    result.needs_account = !route.is_open && lookup.has_accounts;
    result.needs_claim =
        !route.repeatable && !route.is_open && !route.is_unclaimed;
}

void describe_candidates(routing_state const& state,
                         service_state const& service, std::size_t body_bytes,
                         time_point now, explanation& result)
{
    assessment const assessed = assess(service, state.evidence, now);
    result.healthy_slots = assessed.capacity;
    choice_input const input{
        service.candidates,
        assessed.standings,
        service.outstanding,
        {},
        state.data_centre,
        result.repeatable,
        result.repeatable && result.attempts > 1,
        assessed.failure_probabilities,
        assessed.start_waits,
        crossing_cost_for(state, result.route, body_bytes, result.timeout, 0)};
    for (std::size_t i = 0; i < service.candidates.size(); ++i)
    {
        members::candidate const& candidate = service.candidates[i];
        standing const value = assessed.standings[i];
        explanation::entry entry;
        entry.server_info = candidate;
        entry.eligible =
            value <= standing::skipped &&
            (result.repeatable || candidate.health != health_state::probation);
        entry.reason = to_string(value);
        entry.load = load_of(candidate, service.outstanding);
        entry.failure_probability = assessed.failure_probabilities[i];
        auto const report = service.probability_reports.find(candidate.server);
        if (report != service.probability_reports.end())
            entry.news_age = now - report->second.at;
        candidate_costs const costs = costs_of(input, i);
        entry.cost_inside = costs.inside;
        entry.cost_outside = costs.outside;
        entry.is_local = candidate.home_data_centre == state.data_centre;
        result.candidates.push_back(std::move(entry));
    }
    // A copy, so that the choices for requests stay as they are.
    std::mt19937_64 random = state.random;
    choice const chosen = choose(input, random);
    result.chosen_reason = chosen.reason;
    if (chosen.candidate != nullptr)
        result.chosen_server = chosen.candidate->server;
    else if (result.entry_refusal == error_kind::none)
    {
        result.entry_refusal = error_kind::no_server;
        result.entry_rule = "no backend server is eligible";
    }
}

} // namespace

explanation explain(routing_state const& state, lookup_result const& lookup,
                    explain_request const& request, std::size_t max_body_bytes,
                    time_point now)
{
    explanation result;
    result.max_body_bytes = max_body_bytes;
    check_lookup(lookup, request, result);
    if (!lookup.route)
        return result;
    describe_route(lookup, result);
    describe_account(state, lookup, now, result);
    find_entry_refusal(state, lookup, request.body_bytes, result);
    auto const service = state.services.find(lookup.route->service);
    if (service == state.services.end())
    {
        refuse_lookup(result, error_kind::no_server,
                      "no server of service '" + result.service + "' is known");
        return result;
    }
    result.floor_slots = effective_floor(
        service->second.candidates, lookup.floor_slots, lookup.floor_share);
    describe_candidates(state, service->second, request.body_bytes, now,
                        result);
    return result;
}

} // namespace gooseberrycove::routing
