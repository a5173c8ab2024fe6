#include "admission_thread.hpp"

#include "decide.hpp"
#include "observe.hpp"
#include <gooseberrycove/duty.hpp>

#include <algorithm>
#include <iterator>

namespace gooseberrycove::admission
{

namespace
{

/// State of the duty, and the configuration that its policies are made from.
struct duty_state
{
    admission_state state;
    config::tables_ptr tables;
};

service_policy make_policy(config::tables const& tables,
                           config::service const& service)
{
    service_policy policy;
    policy.service = service.name;
    policy.reserved_slots = service.reserved_slots;
    policy.warmup = service.warmup;
    policy.probe_path = service.probe_path;
    if (service.retry_limit)
        policy.retry_limit = retry_allowance{service.retry_limit->share,
                                             service.retry_limit->slack};
    auto const priorities = tables.priorities();
    for (config::priority_share const& share : service.shares)
    {
        if (share.priority >= max_priorities ||
            share.priority >= priorities.size())
            continue;
        policy.priorities[share.priority] = {true, share.min_share,
                                             priorities[share.priority].target};
    }
    return policy;
}

void apply_policy(duty_state& duty, std::string const& name, time_point now,
                  actions& out)
{
    if (!duty.tables)
        return;
    config::service const* const service = duty.tables->find_service(name);
    if (service)
        on_policy(duty.state, make_policy(*duty.tables, *service), now, out);
}

void log_decision(decision const& entry, time_point now)
{
    event_line line(entry.event_id);
    line.field("request", entry.caller_id)
        .field("service", entry.service)
        .field("priority", static_cast<int>(entry.priority))
        .field("server", entry.server)
        .field("reason", entry.reason)
        .field("in_flight", entry.in_flight)
        .field("queued", entry.queued)
        .field("doubt", entry.failure_probability)
        .field("known_doubt", entry.accepted_failure_probability)
        .field("waited_us", std::int64_t{(now - entry.received).count()});
    if (entry.retry_weight > 0)
        line.field("retry_weight", entry.retry_weight);
    if (entry.is_retry)
        line.field("limit_servers", entry.retry_limit_servers);
    log_info(line.routine(entry.event_id == event::work_started));
}

void log_ring_full(std::string_view ring)
{
    log_warning(event_line(event::ring_full).field("duty", ring));
}

void send_result(wiring const& out, addressed_result&& addressed)
{
    if (addressed.origin == out.own_daemon)
    {
        if (!out.routing->try_push(std::move(addressed.result)))
            log_ring_full("routing");
        return;
    }
    if (!out.peer->try_push(
            peer::outgoing{addressed.address, std::move(addressed.result)}))
        log_ring_full("peer");
}

void send_fence_response(wiring const& out, addressed_fence_response&& reply)
{
    if (reply.requester == out.own_daemon)
    {
        if (!out.claims->try_push(std::move(reply.response)))
            log_ring_full("claims");
        return;
    }
    if (!out.peer->try_push(
            peer::outgoing{reply.address, std::move(reply.response)}))
        log_ring_full("peer");
}

/// Sends a start to dispatch. When the ring is full, the request ends as not
/// run, which may free the slot for others; their starts are added to
/// \p follow_up.
void send_start(duty_state& duty, wiring const& out, dispatch::start&& job,
                time_point now, actions& follow_up)
{
    dispatch::finished refused;
    refused.ticket = job.ticket;
    if (out.dispatch->try_push(std::move(job)))
        return;
    log_ring_full("dispatch");
    refused.result = dispatch::result_class::connect_failed;
    refused.detail = "dispatch ring is full";
    on_finished(duty.state, std::move(refused), now, follow_up);
}

template <class Item>
void append(std::vector<Item>& target, std::vector<Item>& source)
{
    std::move(source.begin(), source.end(), std::back_inserter(target));
}

void send_starts(duty_state& duty, wiring const& out, time_point now,
                 actions& todo)
{
    while (!todo.starts.empty())
    {
        actions follow_up;
        for (dispatch::start& job : todo.starts)
            send_start(duty, out, std::move(job), now, follow_up);
        todo.starts = std::move(follow_up.starts);
        append(todo.results, follow_up.results);
        append(todo.decisions, follow_up.decisions);
        append(todo.log, follow_up.log);
    }
}

template <class Ring, class Message>
void send_all(Ring& ring, std::vector<Message>& messages,
              std::string_view ring_name)
{
    for (Message& item : messages)
    {
        if (!ring.try_push(std::move(item)))
            log_ring_full(ring_name);
    }
}

void perform(duty_state& duty, wiring const& out, time_point now, actions& todo)
{
    send_starts(duty, out, now, todo);
    for (decision const& entry : todo.decisions)
    {
        log_decision(entry, now);
        if (out.counts && entry.event_id == event::work_started)
            out.counts->count_arrival(entry.retry_weight);
    }
    for (event_line const& line : todo.log)
        log_info(line);
    if (out.counts && todo.malformed_statements > 0)
        out.counts->count_malformed_statements(todo.malformed_statements);
    if (out.counts && todo.failing_call_refusals > 0)
        out.counts->count_failing_call_refusals(todo.failing_call_refusals);
    for (observation const refused : todo.server_refusals)
    {
        if (out.counts)
            out.counts->count_server_refusal(refusal_cause(refused));
    }
    send_all(*out.dispatch, todo.cancels, "dispatch");
    for (addressed_result& addressed : todo.results)
        send_result(out, std::move(addressed));
    for (addressed_fence_response& reply : todo.fence_responses)
        send_fence_response(out, std::move(reply));
    send_all(*out.health, todo.server_changes, "health");
    send_all(*out.health, todo.samples, "health");
    send_all(*out.members, todo.loads, "members");
}

void publish_retry_share(admission_state const& state, wiring const& out)
{
    if (!out.local_retry_share)
        return;
    double retries = 0;
    for (auto const& [ticket, running] : state.in_flight)
        retries += running.request.retry_weight;
    auto const total = static_cast<double>(state.in_flight.size());
    out.local_retry_share->store(total > 0 ? retries / total : 0);
}

void publish_in_flight(admission_state const& state, wiring const& out)
{
    if (!out.in_flight)
        return;
    std::size_t count = state.in_flight.size();
    for (auto const& [name, service] : state.services)
        count += service.queued;
    out.in_flight->store(count);
}

/// Calls the decision function of each kind of message.
struct handler
{
    duty_state& duty;
    time_point now;
    actions& out;

    void operator()(std::monostate) const {}
    void operator()(work_request&& request) const
    {
        on_work_request(duty.state, std::move(request), now, out);
    }
    void operator()(cancel&& cancellation) const
    {
        on_cancel(duty.state, cancellation, now, out);
    }
    void operator()(dispatch::finished&& done) const
    {
        on_finished(duty.state, std::move(done), now, out);
    }
    void operator()(members::homed_server&& change) const
    {
        if (!duty.state.policies.contains(change.details.service))
            apply_policy(duty, change.details.service, now, out);
        on_homed_server(duty.state, change, now, out);
    }
    void operator()(config::in_force&& version) const
    {
        duty.tables = std::move(version.current);
        std::vector<std::string> names;
        for (auto const& [name, service] : duty.state.services)
            names.push_back(name);
        duty.state.policies.clear();
        for (std::string const& name : names)
            apply_policy(duty, name, now, out);
    }
    void operator()(claims::fence&& request) const
    {
        on_fence(duty.state, request, now, out);
    }
    void operator()(health::status_update&& update) const
    {
        on_status_update(duty.state, update, now, out);
    }
    void operator()(members::service_view_ptr&& view) const
    {
        if (duty.state.services.contains(view->service))
        {
            std::string const service = view->service;
            duty.state.views[service] = std::move(view);
        }
    }
    void operator()(shutdown_notice&& notice) const
    {
        on_shutdown_notice(duty.state, notice, now, out);
    }
    void operator()(drain&&) const { on_drain(duty.state, now, out); }
};

} // namespace

void run(inbox& requests, wiring const& out)
{
    duty_state duty;
    duty.state.own_daemon = out.own_daemon;
    duty.state.max_siblings = out.max_siblings;
    duty.state.started = clock_now();
    run_duty(
        requests,
        [&](message& item, time_point now)
        {
            actions todo;
            std::visit(handler{duty, now, todo}, std::move(item));
            perform(duty, out, now, todo);
        },
        [&](time_point now)
        {
            actions todo;
            time_point const next = on_tick(duty.state, now, todo);
            perform(duty, out, now, todo);
            publish_in_flight(duty.state, out);
            publish_retry_share(duty.state, out);
            return next;
        });
}

} // namespace gooseberrycove::admission
