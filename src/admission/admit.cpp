#include "decide.hpp"
#include "miss_probability.hpp"
#include "queue_bound.hpp"
#include "refuse.hpp"
#include "schedule.hpp"
#include "statement.hpp"

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

/// Whether a field has a value that cannot be sent to a server. A line break in
/// any of these would let a caller add header lines, and a target that cannot
/// be sent would count as a failure of the server.
bool is_malformed(work_request const& request)
{
    return request.priority >= max_priorities || request.method.empty() ||
           !request.target.starts_with('/') ||
           has_blank_or_control(request.method) ||
           has_blank_or_control(request.target) ||
           has_control_character(request.content_type) ||
           has_control_character(request.idempotency_key) ||
           has_control_character(request.traceparent) ||
           has_control_character(request.caller_id) ||
           has_control_character(request.caller_service) ||
           std::ranges::any_of(request.headers,
                               [](header_field const& field)
                               {
                                   return has_blank_or_control(field.name) ||
                                          has_control_character(field.value);
                               });
}

/// Records requests that have run for longer than failures take as evidence
/// that the server is sound, so that the estimate is right before the first
/// long run has ended.
void record_progress(homed_server_state& server, time_point now)
{
    for (active_run& run : server.active)
    {
        if (run.has_progressed || now - run.started < min_progress_time)
            continue;
        run.has_progressed = true;
        apply_observation(server.failure, observation::progress, run.started,
                          now);
    }
}

/// A request is refused when the failure probability of its server has risen by
/// more than this since routing chose the server, so that routing can choose
/// again.
constexpr double min_probability_increase = 0.2;

/// Minimum time from a failure to the next trial request. Each failed trial
/// costs a retry elsewhere, and the retry limit leaves a few per second for a
/// service: two trials a second at each of four failing servers used up the
/// retry limit, and one in six lookups of orders failed because no retry was
/// left.
constexpr duration min_trial_interval = std::chrono::seconds(1);

bool is_trial(work_request const& request)
{
    return request.accepted_failure_probability >= any_failure_probability &&
           request.has_other_homes;
}

/// Whether the request must not run at a server with this failure probability.
/// A repeatable request that has no other home is run at any probability. A
/// request that is not repeatable is refused, because its caller can retry
/// after a refusal but not after a failure.
bool exceeds_accepted_probability(work_request const& request,
                                  double failure_probability)
{
    return (request.has_other_homes || !request.repeatable) &&
           failure_probability >= failure_probability_limit &&
           failure_probability >
               request.accepted_failure_probability + min_probability_increase;
}

refusal check_server_state(homed_server_state const& server,
                           work_request const& request, time_point now)
{
    if (server.state == members::server_state::draining ||
        server.stated_limit.statement.is_leaving)
        return {error_kind::draining, "server_draining"};
    if (!accepts_work(server, request.repeatable))
        return {error_kind::no_server, "server_not_eligible"};
    if (server.status.health == health_state::probation &&
        server.in_flight + server.queued > 0)
        return {error_kind::overloaded, "probation_busy"};
    if (exceeds_accepted_probability(
            request, failure_probability_at(server.failure, now)))
        return {error_kind::no_server, "server_doubtful"};
    if (is_trial(request) &&
        now - server.failure.last_failure < min_trial_interval)
        return {error_kind::no_server, "tested_lately"};
    return {};
}

/// Largest probability of a missed target at which urgent work is queued
/// although another home may be tried; a further home costs about 1 ms.
constexpr double max_queued_miss_probability = 0.01;

bool should_spill(service_state const& service,
                  homed_server_state const& server, work_request const& request,
                  time_point now)
{
    priority_index const urgent = urgent_priority(service.policy);
    return request.has_other_homes && request.priority == urgent &&
           service.policy.priorities[urgent].target.count() > 0 &&
           target_miss_probability(service, server, now) >
               max_queued_miss_probability;
}

/// Number of queued requests of a server that can still meet their target, and
/// of those that cannot.
struct queued_counts
{
    std::size_t timely = 0;
    std::size_t late = 0;
};

queued_counts count_queued_by_target(service_state const& service,
                                     std::string_view server, time_point now)
{
    queued_counts counts;
    for (priority_index i = 0; i < max_priorities; ++i)
    {
        for (work_request const& entry : service.priorities[i].queue.entries)
        {
            if (entry.server != server)
                continue;
            ++(meets_target(service, i, entry.received, now) ? counts.timely
                                                             : counts.late);
        }
    }
    return counts;
}

/// Whether a request that cannot meet its target is refused at once, because it
/// would only be refused later. Timely requests are served before it, and while
/// some are queued, more are likely to arrive. Without timely requests, as many
/// late ones may be queued as the server has slots.
bool is_late_backlog_full(service_state const& service,
                          homed_server_state const& server, time_point now)
{
    queued_counts const queued =
        count_queued_by_target(service, server.name, now);
    return queued.timely > 0 ||
           queued.late >= slots_of(server, service.policy, now);
}

refusal check_server(admission_state const& state, service_state const& service,
                     std::string const& name, work_request const& request,
                     time_point now)
{
    auto const found = state.servers.find(name);
    if (found == state.servers.end() ||
        found->second.service != request.service)
        return {error_kind::no_server, "not_homed_here"};
    refusal const refused = check_server_state(found->second, request, now);
    if (refused.kind != error_kind::none)
        return refused;
    if (request.has_other_homes &&
        time_to_start(found->second.stated_limit, 0, now) > duration(0))
        return {error_kind::overloaded, "server_limit"};
    duration const wait = expected_wait(service, found->second, request, now);
    if (misses_deadline(service, request, now + wait))
        return {error_kind::deadline_unmet, "deadline_at_entry"};
    if (outlasts_shutdown(state, service, request.priority, now + wait))
        return {error_kind::draining, "daemon_draining"};
    if (!meets_target(service, request.priority, request.received,
                      now + wait) &&
        is_late_backlog_full(service, found->second, now))
        return {error_kind::overloaded, "late_backlog"};
    if (wait > max_queue_wait(service.policy, request))
        return {error_kind::overloaded, "queue_bound"};
    if (should_spill(service, found->second, request, now))
        return {error_kind::overloaded, "target_at_entry"};
    return {};
}

/// Checks a request without a chosen server. One server that could run it is
/// enough.
refusal check_any_server(admission_state const& state,
                         service_state const& service,
                         work_request const& request, time_point now)
{
    refusal last{error_kind::no_server, "not_homed_here"};
    for (std::string const& name : service.servers)
    {
        last = check_server(state, service, name, request, now);
        if (last.kind == error_kind::none)
            break;
    }
    return last;
}

refusal refusal_for(claim_admission checked)
{
    switch (checked)
    {
    case claim_admission::accepted:
        break;
    case claim_admission::memory_full:
        return {error_kind::overloaded, "claim_memory_full"};
    case claim_admission::refused_before:
        return {error_kind::no_server, "claim_refused_before"};
    case claim_admission::fenced:
        return {error_kind::outcome_unknown, "claim_fenced"};
    case claim_admission::running:
        return {error_kind::in_progress, "claim_running"};
    case claim_admission::finished:
        return {error_kind::outcome_unknown, "claim_finished"};
    }
    return {};
}

/// Makes room in a full queue: refuses the entry of priority \p victim with the
/// latest deadline. Returns false, and refuses nothing, when the new request
/// has the same priority and no earlier deadline than that entry.
bool evict_latest_deadline(admission_state& state, service_state& service,
                           priority_index victim, work_request const& request,
                           time_point now, actions& out)
{
    priority_queue& queue = service.priorities[victim].queue;
    std::size_t const latest = find_latest_deadline(queue);
    if (victim == request.priority &&
        queue.entries[latest].deadline <= request.deadline)
        return false;
    refuse_queued(state, service, remove_at(queue, latest),
                  error_kind::overloaded, "queue_full", now, out);
    return true;
}

/// The lowest-ranked backlogged priority that has its minimum share; if there
/// is none, the lowest-ranked backlogged priority.
priority_index select_victim(service_state const& service)
{
    priority_index lowest = 0;
    for (priority_index i = max_priorities; i > 0; --i)
    {
        if (service.priorities[i - 1].queue.entries.empty())
            continue;
        if (service.credits.credit_us[i - 1] <= 0)
            return i - 1;
        lowest = std::max<priority_index>(lowest, i - 1);
    }
    return lowest;
}

bool ensure_queue_space(admission_state& state, service_state& service,
                        work_request const& request, time_point now,
                        actions& out)
{
    if (service.priorities[request.priority].queue.entries.size() >=
        max_priority_queue)
        return evict_latest_deadline(state, service, request.priority, request,
                                     now, out);
    if (service.queued < max_service_queue)
        return true;
    priority_index const victim = select_victim(service);
    return victim >= request.priority &&
           evict_latest_deadline(state, service, victim, request, now, out);
}

double count_queued_retries(service_state const& service)
{
    double retries = 0;
    for (priority_state const& priority : service.priorities)
    {
        for (work_request const& entry : priority.queue.entries)
            retries += entry.retry_weight;
    }
    return retries;
}

bool exceeds_retry_limit(admission_state const& state,
                         service_state const& service,
                         work_request const& request, time_point now)
{
    // Most requests have no weight; they skip the scan of the queues.
    if (!service.policy.retry_limit || request.retry_weight <= 0)
        return false;
    return !may_arrive(
        service.arrivals, count_queued_retries(service),
        *service.policy.retry_limit,
        {request.is_retry, request.retry_weight, request.retry_limit_servers},
        state.started, now);
}

/// See work_result::retry_after.
duration time_to_retry(admission_state const& state,
                       work_request const& request, time_point now)
{
    service_state const& service = state.services.at(request.service);
    return time_to_room(
        service.arrivals, count_queued_retries(service),
        *service.policy.retry_limit,
        {request.is_retry, request.retry_weight, request.retry_limit_servers},
        state.started, now);
}

refusal check_request(admission_state const& state, work_request const& request,
                      time_point now)
{
    if (state.is_draining)
        return {error_kind::draining, "daemon_draining"};
    if (is_malformed(request))
        return {error_kind::bad_request, "malformed"};
    auto const found = state.services.find(request.service);
    if (found == state.services.end())
        return {error_kind::no_server, "not_homed_here"};
    service_state const& service = found->second;
    if (exceeds_retry_limit(state, service, request, now))
        return {error_kind::overloaded, retry_limit_reason};
    return request.server.empty()
               ? check_any_server(state, found->second, request, now)
               : check_server(state, found->second, request.server, request,
                              now);
}

void enqueue(admission_state& state, service_state& service,
             work_request&& request, time_point now, actions& out)
{
    ++service.queued;
    adjust_queued(state, request.server, 1);
    priority_queue& queue = service.priorities[request.priority].queue;
    push(queue, std::move(request));
    start_queued(state, service, now, out);
    if (service.queued > 0)
        state.next_queue_check =
            std::min(state.next_queue_check, now + queue_check_interval);
}

} // namespace

void on_work_request(admission_state& state, work_request&& request,
                     time_point now, actions& out)
{
    // The result carries the failure probabilities of the servers, so they are
    // brought up to date first.
    for (auto& [name, server] : state.servers)
    {
        record_progress(server, now);
        decay(server.failure, now);
    }
    apply_reported_statement(state, request, now, out);
    bool const has_claim = !request.claim.id.empty();
    // The claim is checked first: when its request has run at this home, the
    // attempt must not be reported as "not run", even if there are other
    // reasons to refuse it.
    refusal refused;
    if (has_claim && request.home != state.own_daemon)
        // A copy of the request may have reached the earlier run of this home.
        refused = {error_kind::outcome_unknown, "claim_for_earlier_run"};
    else if (has_claim)
        refused = refusal_for(check_claim(state.claims, request.claim));
    if (refused.kind == error_kind::none)
        refused = check_request(state, request, now);
    if (refused.kind == error_kind::none && !request.repeatable)
    {
        call_outcomes& calls = state.services.at(request.service)
                                   .priorities[request.priority]
                                   .calls;
        if (auto const wait = check_calls(calls, now))
        {
            refuse_for_calls(state, request, *wait, now, out);
            return;
        }
    }
    if (refused.kind == error_kind::none)
    {
        service_state& service = state.services.at(request.service);
        update_credits(state, service, now);
        if (!ensure_queue_space(state, service, request, now, out))
            refused = {error_kind::overloaded, "queue_full"};
        else if (has_claim)
            refused =
                refusal_for(admit_claim(state.claims, request.claim, now));
    }
    if (refused.kind != error_kind::none)
    {
        refuse(state, request, refused.kind, refused.reason, now, out);
        if (refused.reason == retry_limit_reason)
            out.results.back().result.retry_after =
                time_to_retry(state, request, now);
        return;
    }
    service_state& service = state.services.at(request.service);
    enqueue(state, service, std::move(request), now, out);
}

} // namespace gooseberrycove::admission
