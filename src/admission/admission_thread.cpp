#include "admission_thread.hpp"

#include "decide.hpp"
#include <gooseberrycove/duty.hpp>

#include <algorithm>
#include <iterator>

namespace gooseberrycove::admission
{

namespace
{

/// State of the duty with the configuration from which policies are taken.
struct duty_state
{
    state decisions;
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
        policy.repeats = repeat_limit{service.retry_limit->share,
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

void apply_policy(duty_state& self, std::string const& name, time_point now,
                  actions& out)
{
    if (!self.tables)
        return;
    config::service const* const service = self.tables->find_service(name);
    if (service)
        on_policy(self.decisions, make_policy(*self.tables, *service), now,
                  out);
}

void log_decision(decision const& made, time_point now)
{
    event_line line(made.what);
    line.field("request", made.request)
        .field("service", made.service)
        .field("priority", static_cast<int>(made.priority))
        .field("server", made.server)
        .field("reason", made.reason)
        .field("in_flight", made.in_flight)
        .field("queued", made.queued)
        .field("doubt", made.doubt)
        .field("known_doubt", made.known_doubt)
        .field("waited_us", std::int64_t{(now - made.received).count()})
        .routine(made.what == event::work_started);
    log_info(line);
}

void log_lost(std::string_view ring)
{
    log_warning(event_line(event::ring_full).field("duty", ring));
}

void send_answer(wiring const& out, answer&& made)
{
    if (made.origin == out.self)
    {
        if (!out.routing->try_push(std::move(made.result)))
            log_lost("routing");
        return;
    }
    if (!out.peer->try_push(
            peer::outgoing{made.address, std::move(made.result)}))
        log_lost("peer");
}

void send_fence(wiring const& out, fence_reply&& reply)
{
    if (reply.asked_by == out.self)
    {
        if (!out.claims->try_push(std::move(reply.answer)))
            log_lost("claims");
        return;
    }
    if (!out.peer->try_push(
            peer::outgoing{reply.address, std::move(reply.answer)}))
        log_lost("peer");
}

/// Hands a start to dispatch. Without room it comes back as not run, which
/// may free the slot for further work.
void send_start(duty_state& self, wiring const& out, dispatch::start&& job,
                time_point now, actions& more)
{
    dispatch::finished refused;
    refused.ticket = job.ticket;
    if (out.dispatch->try_push(std::move(job)))
        return;
    log_lost("dispatch");
    refused.result = dispatch::result_class::connect_failed;
    refused.detail = "dispatch ring is full";
    on_finished(self.decisions, std::move(refused), now, more);
}

template <class Item>
void append(std::vector<Item>& to, std::vector<Item>& from)
{
    std::move(from.begin(), from.end(), std::back_inserter(to));
}

void send_starts(duty_state& self, wiring const& out, time_point now,
                 actions& todo)
{
    while (!todo.starts.empty())
    {
        actions more;
        for (dispatch::start& job : todo.starts)
            send_start(self, out, std::move(job), now, more);
        todo.starts = std::move(more.starts);
        append(todo.answers, more.answers);
        append(todo.decisions, more.decisions);
    }
}

template <class Ring, class Message>
void send_all(Ring& ring, std::vector<Message>& messages, std::string_view name)
{
    for (Message& item : messages)
    {
        if (!ring.try_push(std::move(item)))
            log_lost(name);
    }
}

void perform(duty_state& self, wiring const& out, time_point now, actions& todo)
{
    send_starts(self, out, now, todo);
    for (decision const& made : todo.decisions)
        log_decision(made, now);
    send_all(*out.dispatch, todo.cancels, "dispatch");
    for (answer& made : todo.answers)
        send_answer(out, std::move(made));
    for (fence_reply& reply : todo.fences)
        send_fence(out, std::move(reply));
    send_all(*out.health, todo.known, "health");
    send_all(*out.health, todo.samples, "health");
    send_all(*out.members, todo.loads, "members");
}

void publish_repeats(state const& self, wiring const& out)
{
    if (!out.repeats)
        return;
    double repeats = 0;
    for (auto const& [ticket, begun] : self.in_flight)
        repeats += begun.what.retry_weight;
    auto const all = static_cast<double>(self.in_flight.size());
    out.repeats->store(all > 0 ? repeats / all : 0);
}

void publish_in_flight(state const& self, wiring const& out)
{
    if (!out.in_flight)
        return;
    std::size_t count = self.in_flight.size();
    for (auto const& [name, service] : self.services)
        count += service.queued;
    out.in_flight->store(count);
}

/// Hands each kind of message to its decision.
struct handler
{
    duty_state& self;
    time_point now;
    actions& out;

    void operator()(std::monostate) const {}
    void operator()(work_request&& what) const
    {
        on_work(self.decisions, std::move(what), now, out);
    }
    void operator()(cancel&& which) const
    {
        on_cancel(self.decisions, which, now, out);
    }
    void operator()(dispatch::finished&& done) const
    {
        on_finished(self.decisions, std::move(done), now, out);
    }
    void operator()(members::homed_server&& change) const
    {
        if (!self.decisions.policies.contains(change.details.service))
            apply_policy(self, change.details.service, now, out);
        on_homed_server(self.decisions, change, now, out);
    }
    void operator()(config::in_force&& version) const
    {
        self.tables = std::move(version.current);
        std::vector<std::string> names;
        for (auto const& [name, service] : self.decisions.services)
            names.push_back(name);
        self.decisions.policies.clear();
        for (std::string const& name : names)
            apply_policy(self, name, now, out);
    }
    void operator()(claims::fence&& request) const
    {
        on_fence(self.decisions, request, now, out);
    }
    void operator()(health::status_update&& verdict) const
    {
        on_verdict(self.decisions, verdict, now, out);
    }
    void operator()(drain&&) const { on_drain(self.decisions, now, out); }
};

} // namespace

void run(inbox& requests, wiring const& out)
{
    duty_state self;
    self.decisions.self = out.self;
    run_duty(
        requests,
        [&](message& item, time_point now)
        {
            actions todo;
            std::visit(handler{self, now, todo}, std::move(item));
            perform(self, out, now, todo);
        },
        [&](time_point now)
        {
            actions todo;
            time_point const next = on_tick(self.decisions, now, todo);
            perform(self, out, now, todo);
            publish_in_flight(self.decisions, out);
            publish_repeats(self.decisions, out);
            return next;
        });
}

} // namespace gooseberrycove::admission
