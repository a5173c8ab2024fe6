#include "decide.hpp"
#include "refuse.hpp"
#include "risk.hpp"
#include "schedule.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

struct refusal
{
    error_kind kind = error_kind::none;
    std::string_view reason;
};

bool has_blank_or_control(std::string_view text)
{
    return std::ranges::any_of(
        text, [](char c)
        { return static_cast<unsigned char>(c) <= 0x20 || c == 0x7f; });
}

bool has_control_character(std::string_view text)
{
    return std::ranges::any_of(
        text, [](char c) { return static_cast<unsigned char>(c) < 0x20; });
}

/// A line break in any of these would let a caller add header lines, and a
/// target that cannot be sent would count against the server.
bool is_malformed(work_request const& what)
{
    return what.priority >= max_priorities || what.method.empty() ||
           !what.target.starts_with('/') || has_blank_or_control(what.method) ||
           has_blank_or_control(what.target) ||
           has_control_character(what.content_type) ||
           has_control_character(what.idempotency_key) ||
           has_control_character(what.traceparent) ||
           has_control_character(what.caller_id) ||
           has_control_character(what.caller_service) ||
           std::ranges::any_of(what.headers,
                               [](header_field const& field)
                               {
                                   return has_blank_or_control(field.name) ||
                                          has_control_character(field.value);
                               });
}

/// Servers that fail in the users' sites answer within 2 ms.
constexpr duration progress_time = std::chrono::milliseconds(20);

/// Takes work that has run for longer than failures take as evidence, so that
/// a sound server is known before its first long run has ended.
void take_progress(homed_state& server, time_point now)
{
    for (active_run& run : server.active)
    {
        if (run.progressed || now - run.started < progress_time)
            continue;
        run.progressed = true;
        take_observation(server.failing, observation::progress, run.started,
                         now);
    }
}

/// A doubt that has grown by this much since routing chose the server is worth
/// another choice.
constexpr double doubt_news = 0.2;

/// Least time from a failure to the next test. Each failed test costs a repeat
/// elsewhere, and the limit of repeats leaves a few per second for a service:
/// with two tests a second at each of four failing servers, one in six lookups
/// of orders failed on the users' heaviest day because none was left.
constexpr duration test_interval = std::chrono::seconds(1);

bool is_test(work_request const& what)
{
    return what.accepted_failure_probability >= any_failure_probability &&
           what.has_other_homes;
}

/// Whether the work is not to run at a server in this doubt. Work that may run
/// again and has no other home left is tried; work that may not is given back,
/// because its caller can come again after a refusal but not after a failure.
bool is_too_doubtful(work_request const& what, double doubt)
{
    return (what.has_other_homes || !what.repeatable) &&
           doubt >= failure_probability_limit &&
           doubt > what.accepted_failure_probability + doubt_news;
}

refusal refuse_by_server(homed_state const& server, work_request const& what,
                         time_point now)
{
    if (server.state == members::server_state::draining)
        return {error_kind::draining, "server_draining"};
    if (!takes_work(server, what.repeatable))
        return {error_kind::no_server, "server_not_eligible"};
    if (server.health.health == health_state::probation &&
        server.in_flight + server.queued > 0)
        return {error_kind::overloaded, "probation_busy"};
    if (is_too_doubtful(what, doubt_at(server.failing, now)))
        return {error_kind::no_server, "server_doubtful"};
    if (is_test(what) && now - server.failing.last_failure < test_interval)
        return {error_kind::no_server, "tested_lately"};
    return {};
}

/// Largest probability of a missed target with which urgent work is queued
/// while another home may be tried; a further home costs about 1 ms.
constexpr double spill_risk = 0.01;

bool should_spill(service_state const& service, homed_state const& server,
                  work_request const& what, time_point now)
{
    priority_index const urgent = urgent_priority(service.policy);
    return what.has_other_homes && what.priority == urgent &&
           service.policy.priorities[urgent].target.count() > 0 &&
           urgent_risk(service, server, now) > spill_risk;
}

/// Queued work of a server by whether it can still meet its target.
struct waiting_work
{
    std::size_t timely = 0;
    std::size_t late = 0;
};

waiting_work waiting_for(service_state const& service, std::string_view server,
                         time_point now)
{
    waiting_work found;
    for (priority_index i = 0; i < max_priorities; ++i)
    {
        for (work_request const& waiting : service.priorities[i].queue.entries)
        {
            if (waiting.server != server)
                continue;
            ++(meets_target(service, i, waiting.received, now) ? found.timely
                                                               : found.late);
        }
    }
    return found;
}

/// Whether late work would only wait here for its refusal. Timely work goes
/// before it, and where some waits more of it comes; beside that, a few late
/// pieces use what the rest leaves.
bool has_no_room_for_late(service_state const& service,
                          homed_state const& server, time_point now)
{
    waiting_work const waiting = waiting_for(service, server.name, now);
    return waiting.timely > 0 ||
           waiting.late >= slots_of(server, service.policy, now);
}

refusal check_server(state const& self, service_state const& service,
                     std::string const& name, work_request const& what,
                     time_point now)
{
    auto const found = self.servers.find(name);
    if (found == self.servers.end() || found->second.service != what.service)
        return {error_kind::no_server, "not_homed_here"};
    refusal const refused = refuse_by_server(found->second, what, now);
    if (refused.kind != error_kind::none)
        return refused;
    duration const wait = expected_wait(service, found->second, what, now);
    if (misses_deadline(service, what, now + wait))
        return {error_kind::deadline_unmet, "deadline_at_entry"};
    if (!meets_target(service, what.priority, what.received, now + wait) &&
        has_no_room_for_late(service, found->second, now))
        return {error_kind::overloaded, "late_backlog"};
    if (should_spill(service, found->second, what, now))
        return {error_kind::overloaded, "target_at_entry"};
    return {};
}

/// Work without a chosen server needs one server that could take it.
refusal check_any_server(state const& self, service_state const& service,
                         work_request const& what, time_point now)
{
    refusal last{error_kind::no_server, "not_homed_here"};
    for (std::string const& name : service.servers)
    {
        last = check_server(self, service, name, what, now);
        if (last.kind == error_kind::none)
            break;
    }
    return last;
}

refusal check_claim(claim_entry known)
{
    switch (known)
    {
    case claim_entry::accepted:
        break;
    case claim_entry::no_room:
        return {error_kind::overloaded, "claim_memory_full"};
    case claim_entry::refused_before:
        return {error_kind::no_server, "claim_refused_before"};
    case claim_entry::fenced:
        return {error_kind::outcome_unknown, "claim_fenced"};
    case claim_entry::running:
        return {error_kind::in_progress, "claim_running"};
    case claim_entry::finished:
        return {error_kind::outcome_unknown, "claim_finished"};
    }
    return {};
}

/// Makes room for work of \p priority in its full queue. Refuses the entry
/// with the latest deadline; returns false when that is the new work.
bool make_room(state& self, service_state& service, priority_index victim,
               work_request const& what, time_point now, actions& out)
{
    priority_queue& queue = service.priorities[victim].queue;
    std::size_t const latest = latest_deadline(queue);
    if (victim == what.priority &&
        queue.entries[latest].deadline <= what.deadline)
        return false;
    refuse_queued(self, service, remove_at(queue, latest),
                  error_kind::overloaded, "queue_full", now, out);
    return true;
}

/// The lowest-ranked backlogged priority above its minimum share; without one
/// the lowest-ranked backlogged priority.
priority_index victim_of(service_state const& service)
{
    priority_index lowest = 0;
    for (priority_index i = max_priorities; i > 0; --i)
    {
        if (service.priorities[i - 1].queue.entries.empty())
            continue;
        if (service.shares.credit_us[i - 1] <= 0)
            return i - 1;
        lowest = std::max<priority_index>(lowest, i - 1);
    }
    return lowest;
}

bool fits(state& self, service_state& service, work_request const& what,
          time_point now, actions& out)
{
    if (service.priorities[what.priority].queue.entries.size() >= max_queue)
        return make_room(self, service, what.priority, what, now, out);
    if (service.queued < max_service_queue)
        return true;
    priority_index const victim = victim_of(service);
    return victim >= what.priority &&
           make_room(self, service, victim, what, now, out);
}

refusal check_work(state const& self, work_request const& what, time_point now)
{
    if (self.draining)
        return {error_kind::draining, "daemon_draining"};
    if (is_malformed(what))
        return {error_kind::bad_request, "malformed"};
    auto const found = self.services.find(what.service);
    if (found == self.services.end())
        return {error_kind::no_server, "not_homed_here"};
    service_state const& service = found->second;
    if (what.is_retry && service.policy.repeats &&
        !may_repeat(service.arrivals, *service.policy.repeats,
                    what.retry_limit_servers, now))
        return {error_kind::overloaded, "repeat_limit"};
    return what.server.empty()
               ? check_any_server(self, found->second, what, now)
               : check_server(self, found->second, what.server, what, now);
}

void enqueue(state& self, service_state& service, work_request&& what,
             time_point now, actions& out)
{
    ++service.queued;
    count_queued(self, what.server, 1);
    priority_queue& queue = service.priorities[what.priority].queue;
    push(queue, std::move(what));
    start_queued(self, service, now, out);
    if (service.queued > 0)
        self.next_queue_check =
            std::min(self.next_queue_check, now + queue_check);
}

} // namespace

void on_work(state& self, work_request&& what, time_point now, actions& out)
{
    // The answer tells the doubts as they are now.
    for (auto& [name, server] : self.servers)
    {
        take_progress(server, now);
        pass_time(server.failing, now);
    }
    bool const claimed = !what.claim.id.empty();
    // A claim that ran here must never be answered "not run", whatever else
    // stands against the attempt.
    refusal refused;
    if (claimed && what.home != self.self)
        // An earlier copy may have reached the earlier run of this home.
        refused = {error_kind::outcome_unknown, "claim_for_earlier_run"};
    else if (claimed)
        refused = check_claim(known_claim(self.claims, what.claim));
    if (refused.kind == error_kind::none)
        refused = check_work(self, what, now);
    if (refused.kind == error_kind::none)
    {
        service_state& service = self.services.at(what.service);
        advance_shares(self, service, now);
        if (!fits(self, service, what, now, out))
            refused = {error_kind::overloaded, "queue_full"};
        else if (claimed)
            refused = check_claim(enter_claim(self.claims, what.claim, now));
    }
    if (refused.kind != error_kind::none)
    {
        refuse(self, what, refused.kind, refused.reason, out);
        return;
    }
    service_state& service = self.services.at(what.service);
    enqueue(self, service, std::move(what), now, out);
}

} // namespace gooseberrycove::admission
