#include "routing_thread.hpp"

#include "authenticate.hpp"
#include "claim_queries.hpp"
#include "decisions.hpp"
#include <gooseberrycove/duty.hpp>
#include <gooseberrycove/uri.hpp>

#include <algorithm>
#include <deque>

namespace gooseberrycove::routing
{

namespace
{

/// Interval at which messages for a full ring are pushed again.
constexpr duration resend_interval = std::chrono::milliseconds(2);

/// Responses and claim messages that wait because their ring is full. They must
/// not be dropped; their number is bounded by the requests in flight.
struct outbox
{
    std::deque<front::message> responses;
    std::deque<claims::message> claim_messages;
    std::deque<account_limit::message> limit_messages;
};

front::caller_response encode(final_response&& response)
{
    front::caller_response encoded;
    encoded.id = response.id;
    if (response.kind == error_kind::none)
    {
        encoded.status = response.result.status;
        encoded.content_type = std::move(response.result.content_type);
        encoded.headers = std::move(response.result.headers);
        encoded.body = std::move(response.result.body);
        encoded.run_outcome = response.result.run_outcome;
        return encoded;
    }
    error_response const& row = error_response_for(response.kind);
    encoded.status = row.status;
    encoded.content_type = "application/problem+json";
    encoded.body =
        problem_document(response.kind, response.detail, response.caller_id);
    encoded.run_outcome = row.run_outcome;
    encoded.retry_after = std::chrono::seconds(row.retry_after_s);
    if (row.retry_after_s > 0 && response.result.retry_after.count() > 0)
        encoded.retry_after = response.result.retry_after;
    return encoded;
}

/// Sends work or a cancellation to its home. When the ring is full, returns a
/// result (not run) for work and drops a cancellation.
std::optional<work_result> send_to_home(home_message&& unsent,
                                        wiring const& links)
{
    work_result refused;
    bool const is_work = std::holds_alternative<work_request>(unsent.content);
    if (is_work)
    {
        refused.id = std::get<work_request>(unsent.content).id;
        refused.attempt = std::get<work_request>(unsent.content).attempt;
    }
    std::size_t const reserve = is_work ? response_reserve : 0;
    bool const sent = std::visit(
        [&](auto& content)
        {
            if (unsent.is_local)
                return links.admission->try_push(std::move(content), reserve);
            return links.peer->try_push(
                peer::outgoing{std::move(unsent.address), std::move(content),
                               unsent.scope},
                reserve);
        },
        unsent.content);
    if (sent || !is_work)
        return std::nullopt;
    refused.kind = error_kind::overloaded;
    refused.run_outcome = outcome::not_run;
    refused.detail = "a queue of this daemon is full";
    refused.home = links.own_daemon;
    return refused;
}

void count_response(final_response const& response, wiring const& links,
                    time_point now)
{
    if (!links.request_metrics)
        return;
    bool const has_server_response = response.kind == error_kind::none;
    links.request_metrics->count_request(
        response.priority,
        has_server_response ? response.result.run_outcome
                            : error_response_for(response.kind).run_outcome,
        has_server_response ? response.result.status
                            : error_response_for(response.kind).status);
    if (response.result.service_time.count() > 0)
        links.request_metrics->observe_added_latency(
            now - response.received - response.result.service_time);
}

void perform_actions(routing_state& state, actions& decided, outbox& unsent,
                     wiring const& links, time_point now)
{
    // Handling the result of a refused send may add a message to the next home.
    while (!decided.home_messages.empty())
    {
        std::vector<home_message> messages =
            std::exchange(decided.home_messages, {});
        for (home_message& item : messages)
        {
            auto refused = send_to_home(std::move(item), links);
            if (refused)
                on_result(state, std::move(*refused), now, decided);
        }
    }
    for (final_response const& response : decided.responses)
        count_response(response, links, now);
    for (final_response& response : decided.responses)
        unsent.responses.emplace_back(encode(std::move(response)));
    for (claims::message& item : decided.claim_messages)
        unsent.claim_messages.push_back(std::move(item));
    for (account_limit::message& item : decided.limit_messages)
        unsent.limit_messages.push_back(std::move(item));
    for (event_line const& line : decided.log)
        log_info(line);
    decided = {};
    push_pending(unsent.responses, *links.front);
    push_pending(unsent.claim_messages, *links.claims);
    if (links.account_limit)
        push_pending(unsent.limit_messages, *links.account_limit);
}

/// Key of the configuration lookup for one request.
struct lookup_key
{
    /// Name of the account; unused when it is found by its key.
    std::string_view account;
    std::optional<config::key_hash> account_key;
    std::string_view method;
    std::string_view host;
    std::string_view path;
};

lookup_result look_up(split_positions& splits, std::mt19937_64& random,
                      config::in_force const& in_force, lookup_key const& key)
{
    config::tables_ptr const& tables = in_force.current;
    lookup_result lookup;
    // Version 0 is the empty configuration that a daemon starts with.
    lookup.is_configured = tables && tables->version() > 0;
    if (!lookup.is_configured)
        return lookup;
    lookup.is_current = in_force.is_current;
    lookup.has_accounts = tables->has_accounts();
    lookup.account_key = key.account_key;
    lookup.account = key.account_key ? tables->account_by_key(*key.account_key)
                                     : tables->account(key.account);
    lookup.route = tables->match(key.method, key.host, key.path);
    if (!lookup.route)
        return lookup;
    if (!lookup.route->split.empty())
        lookup.route->service = next_part(splits, *lookup.route, random);
    if (auto const* service = tables->find_service(lookup.route->service))
    {
        lookup.floor_slots = service->floor_slots;
        lookup.floor_share = service->floor_share;
        lookup.homes_limit_retries = service->retry_limit.has_value();
    }
    if (lookup.account && !lookup.route->is_open)
        lookup.route->priority =
            tables->priority_for(*lookup.route, *lookup.account);
    auto const priorities = tables->priorities();
    if (lookup.route->priority < priorities.size())
        lookup.priority_name = priorities[lookup.route->priority].name;
    return lookup;
}

/// Applies new floors to all services at once, so that they also hold for
/// requests that are already in flight.
void update_floors(routing_state& state, config::tables const& tables)
{
    for (auto& [name, service] : state.services)
    {
        auto const* const configured = tables.find_service(name);
        if (configured == nullptr)
            continue;
        service.floor_slots = configured->floor_slots;
        service.floor_share = configured->floor_share;
    }
}

/// Handles each message; one overload for each type.
struct handler
{
    routing_state& state;
    config::in_force& in_force;
    wiring const& links;
    time_point now;
    actions& out;

    void operator()(std::monostate) const {}
    void operator()(caller_request& request) const
    {
        std::optional<config::key_hash> account_key;
        if (links.finds_accounts_by_key)
            account_key = hash_secret(request.credentials);
        lookup_result const lookup = look_up(
            state.splits, state.random, in_force,
            {account_name(request.credentials), account_key, request.method,
             request.host, uri::path_of(request.target)});
        if (links.answers_claim_queries &&
            is_claim_query(request.method, uri::path_of(request.target),
                           lookup))
        {
            auto const deliver =
                [front = links.front](final_response&& response)
            { front->try_push(encode(std::move(response))); };
            on_claim_query(state, request, lookup, deliver, now, out);
            return;
        }
        if (links.local_retry_share)
            state.local_retry_share = links.local_retry_share->load();
        on_caller_request(state, std::move(request), lookup, now, out);
    }
    void operator()(caller_disconnected const& disconnected) const
    {
        on_caller_disconnected(state, disconnected, now, out);
    }
    void operator()(work_result& result) const
    {
        on_result(state, std::move(result), now, out);
    }
    void operator()(claims::claim_result& result) const
    {
        on_claim_result(state, std::move(result), now, out);
    }
    void operator()(account_limit::token_decision const& decision) const
    {
        on_token_decision(state, decision, now, out);
    }
    void operator()(claims::claim_released const& released) const
    {
        on_claim_released(state, released, now, out);
    }
    void operator()(members::service_view_ptr const& view) const
    {
        on_service_view(state, *view);
        if (in_force.current)
            update_floors(state, *in_force.current);
    }
    void operator()(config::in_force const& next) const
    {
        // A message may only change is_current.
        bool const is_other_version = next.current != in_force.current;
        in_force = next;
        if (!is_other_version)
            return;
        update_floors(state, *in_force.current);
        if (state.has_fleet_limits)
            out.limit_messages.push_back(
                account_limit::configured{in_force.current->has_limits()});
    }
    void operator()(explain_request const& request) const
    {
        // Copies, because choosing the part of a split route changes both.
        split_positions splits = state.splits;
        std::mt19937_64 random = state.random;
        lookup_result const lookup =
            look_up(splits, random, in_force,
                    {request.account, std::nullopt, request.method,
                     request.host, uri::path_of(request.path)});
        request.deliver(
            explain(state, lookup, request, links.max_body_bytes, now));
    }
    void operator()(refuse_unstarted const&) const
    {
        on_refuse_unstarted(state, out);
    }
    void operator()(services_request const& request) const
    {
        request.deliver(summarize(state, now));
    }
};

} // namespace

void run(inbox& messages, wiring const& links)
{
    routing_state state;
    state.own_daemon = links.own_daemon;
    state.own_address = links.own_address;
    state.data_centre = links.data_centre;
    state.cross_data_centre_cost = links.cross_data_centre_cost;
    state.keeps_newer_loads = links.keeps_newer_loads;
    state.caller_service = links.caller_service;
    state.has_fleet_limits = links.account_limit != nullptr;
    state.random.seed(links.own_daemon.id ^ links.own_daemon.incarnation);
    config::in_force in_force;
    outbox unsent;
    actions decided;
    run_duty(
        messages,
        [&](message& received, time_point now)
        {
            std::visit(handler{state, in_force, links, now, decided}, received);
            perform_actions(state, decided, unsent, links, now);
        },
        [&](time_point now)
        {
            time_point const next = on_tick(state, now, decided);
            perform_actions(state, decided, unsent, links, now);
            bool const has_unsent = !unsent.responses.empty() ||
                                    !unsent.claim_messages.empty() ||
                                    !unsent.limit_messages.empty();
            return has_unsent ? std::min(next, now + resend_interval) : next;
        });
}

} // namespace gooseberrycove::routing
