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

/// Time until messages that found a full ring are offered again.
constexpr duration resend_time = std::chrono::milliseconds(2);

/// Answers and claim messages that found their ring full. They must not be
/// dropped; the requests in flight bound their number.
struct outbox
{
    std::deque<front::message> answers;
    std::deque<claims::message> claim_messages;
};

front::caller_response encode(reply&& from)
{
    front::caller_response answer;
    answer.id = from.id;
    if (from.kind == error_kind::none)
    {
        answer.status = from.result.status;
        answer.content_type = std::move(from.result.content_type);
        answer.headers = std::move(from.result.headers);
        answer.body = std::move(from.result.body);
        answer.run_outcome = from.result.run_outcome;
        return answer;
    }
    error_response const& row = error_response_for(from.kind);
    answer.status = row.status;
    answer.content_type = "application/problem+json";
    answer.body = problem_document(from.kind, from.detail, from.caller_id);
    answer.run_outcome = row.run_outcome;
    answer.retry_after_s = row.retry_after_s;
    return answer;
}

/// Hands work or a cancellation to its home. Work that finds a ring full
/// comes back as a result that did not run.
std::optional<work_result> send(to_home&& item, wiring const& to)
{
    work_result refused;
    bool const is_work = std::holds_alternative<work_request>(item.what);
    if (is_work)
    {
        refused.id = std::get<work_request>(item.what).id;
        refused.attempt = std::get<work_request>(item.what).attempt;
    }
    std::size_t const reserve = is_work ? response_reserve : 0;
    bool const sent = std::visit(
        [&](auto& what)
        {
            if (item.local)
                return to.admission->try_push(std::move(what), reserve);
            return to.peer->try_push(
                peer::outgoing{std::move(item.address), std::move(what)},
                reserve);
        },
        item.what);
    if (sent || !is_work)
        return std::nullopt;
    refused.kind = error_kind::overloaded;
    refused.run_outcome = outcome::not_run;
    refused.detail = "a queue of this daemon is full";
    refused.home = to.self;
    return refused;
}

void count(reply const& item, wiring const& to, time_point now)
{
    if (!to.counts)
        return;
    bool const answered = item.kind == error_kind::none;
    to.counts->count_request(
        item.priority,
        answered ? item.result.run_outcome
                 : error_response_for(item.kind).run_outcome,
        answered ? item.result.status : error_response_for(item.kind).status);
    if (item.result.service_time.count() > 0)
        to.counts->observe_added_latency(now - item.received -
                                         item.result.service_time);
}

void perform(state& self, actions& todo, outbox& waiting, wiring const& to,
             time_point now)
{
    // A refused send decides on, which may send to the next home.
    while (!todo.sends.empty())
    {
        std::vector<to_home> sends = std::exchange(todo.sends, {});
        for (to_home& item : sends)
        {
            auto refused = send(std::move(item), to);
            if (refused)
                on_result(self, std::move(*refused), now, todo);
        }
    }
    for (reply const& item : todo.replies)
        count(item, to, now);
    for (reply& item : todo.replies)
        waiting.answers.emplace_back(encode(std::move(item)));
    for (claims::message& item : todo.claim_messages)
        waiting.claim_messages.push_back(std::move(item));
    for (event_line const& line : todo.log)
        log_info(line);
    todo = {};
    push_pending(waiting.answers, *to.front);
    push_pending(waiting.claim_messages, *to.claims);
}

/// What a request asks for, as the configuration is searched.
struct wanted_route
{
    std::string_view account;
    std::string_view method;
    std::string_view host;
    std::string_view path;
};

looked_up look_up(state& self, config::tables_ptr const& tables,
                  wanted_route const& wanted)
{
    looked_up found;
    // Version 0 is the empty configuration that a daemon starts with.
    found.configured = tables && tables->version() > 0;
    if (!found.configured)
        return found;
    found.has_accounts = tables->has_accounts();
    found.account = tables->account(wanted.account);
    found.route = tables->match(wanted.method, wanted.host, wanted.path);
    if (!found.route)
        return found;
    if (!found.route->split.empty())
        found.route->service =
            next_part(self.splits, *found.route, self.random);
    if (auto const* service = tables->find_service(found.route->service))
    {
        found.floor_slots = service->floor_slots;
        found.floor_share = service->floor_share;
        found.homes_limit_repeats = service->retry_limit.has_value();
    }
    auto const priorities = tables->priorities();
    if (found.route->priority < priorities.size())
        found.priority_name = priorities[found.route->priority].name;
    return found;
}

/// A new floor must hold for requests that are already in flight.
void take_floors(state& self, config::tables const& tables)
{
    for (auto& [name, service] : self.services)
    {
        auto const* const found = tables.find_service(name);
        if (found == nullptr)
            continue;
        service.floor_slots = found->floor_slots;
        service.floor_share = found->floor_share;
    }
}

/// Performs each message; one overload for each kind.
struct handler
{
    state& self;
    config::tables_ptr& tables;
    wiring const& to;
    time_point now;
    actions& out;

    void operator()(std::monostate) const {}
    void operator()(caller_request& from) const
    {
        looked_up const found =
            look_up(self, tables,
                    {account_name(from.credentials), from.method, from.host,
                     uri::path_of(from.target)});
        if (is_claim_query(from.method, uri::path_of(from.target)))
        {
            auto const deliver = [front = to.front](reply&& item)
            { front->try_push(encode(std::move(item))); };
            on_claim_query(self, from, found, deliver, now, out);
            return;
        }
        if (to.repeats)
            self.local_repeats = to.repeats->load();
        on_caller_request(self, std::move(from), found, now, out);
    }
    void operator()(caller_disconnected const& gone) const
    {
        on_caller_gone(self, gone, now, out);
    }
    void operator()(work_result& result) const
    {
        on_result(self, std::move(result), now, out);
    }
    void operator()(claims::claim_result& result) const
    {
        on_claim_result(self, std::move(result), now, out);
    }
    void operator()(claims::claim_released const& released) const
    {
        on_claim_released(self, released, now, out);
    }
    void operator()(members::service_view_ptr const& view) const
    {
        on_view(self, *view);
        if (tables)
            take_floors(self, *tables);
    }
    void operator()(config::in_force const& next) const
    {
        tables = next.current;
        take_floors(self, *tables);
    }
    void operator()(explain_request const& wanted) const
    {
        wanted.deliver(
            explain(self,
                    look_up(self, tables,
                            {wanted.account, wanted.method, wanted.host,
                             uri::path_of(wanted.path)}),
                    now));
    }
    void operator()(refuse_unstarted const&) const
    {
        on_stop_waiting(self, out);
    }
    void operator()(services_request const& wanted) const
    {
        wanted.deliver(summarize(self, now));
    }
};

} // namespace

void run(inbox& messages, wiring const& to)
{
    state self;
    self.self = to.self;
    self.address = to.address;
    self.data_centre = to.data_centre;
    self.caller_service = to.caller_service;
    self.random.seed(to.self.id ^ to.self.incarnation);
    config::tables_ptr tables;
    outbox waiting;
    actions todo;
    run_duty(
        messages,
        [&](message& what, time_point now)
        {
            std::visit(handler{self, tables, to, now, todo}, what);
            perform(self, todo, waiting, to, now);
        },
        [&](time_point now)
        {
            time_point const next = on_tick(self, now, todo);
            perform(self, todo, waiting, to, now);
            bool const held =
                !waiting.answers.empty() || !waiting.claim_messages.empty();
            return held ? std::min(next, now + resend_time) : next;
        });
}

} // namespace gooseberrycove::routing
