#include "decide.hpp"

#include "observe.hpp"
#include "refuse.hpp"
#include "schedule.hpp"
#include "statement.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::admission
{

namespace
{

struct mapped_result
{
    error_kind kind = error_kind::none;
    outcome run_outcome = outcome::unknown;
};

mapped_result map_result_class(dispatch::result_class result)
{
    switch (result)
    {
    case dispatch::result_class::answered:
        return {error_kind::none, outcome::ran};
    case dispatch::result_class::connect_failed:
        return {error_kind::no_server, outcome::not_run};
    case dispatch::result_class::refused_not_run:
        return {error_kind::overloaded, outcome::not_run};
    case dispatch::result_class::cut:
        return {error_kind::answer_cut, outcome::unknown};
    case dispatch::result_class::timed_out:
        return {error_kind::timed_out, outcome::unknown};
    case dispatch::result_class::cancelled:
        break;
    }
    return {error_kind::cancelled, outcome::unknown};
}

/// Refuses the queued requests for a server that has become suspected, when
/// they have another home or must not run twice. Requests for which routing
/// accepted a probability at or above the limit stay.
void refuse_work_of_suspected(admission_state& state, service_state& service,
                              homed_server_state const& server, time_point now,
                              actions& out)
{
    entry_predicate const avoids_server = [&](work_request const& entry)
    {
        return entry.server == server.name &&
               (entry.has_other_homes || !entry.repeatable) &&
               entry.accepted_failure_probability < failure_probability_limit;
    };
    refuse_matching(state, service, avoids_server, error_kind::no_server,
                    "server_doubtful", now, out);
}

void record_observation(admission_state& state, service_state& service,
                        homed_server_state& server, observation observed,
                        time_point began, time_point now, actions& out)
{
    double const previous = failure_probability_at(server.failure, now);
    apply_observation(server.failure, observed, began, now);
    if (previous < failure_probability_limit &&
        server.failure.probability >= failure_probability_limit)
        refuse_work_of_suspected(state, service, server, now, out);
}

/// Minimum number of samples for a typical service time of a priority.
constexpr double min_estimate_samples = 20;

/// Returns the latency in proportion to the median of its priority, as
/// health::sample::latency has it. Servers that serve another mix of priorities
/// than their siblings would otherwise look slow: reads of 2 ms and work of 0.5
/// s share a service. A server that is always slower than its siblings does not
/// count as failing for that.
duration normalize_latency(service_time_estimate const& estimate,
                           duration latency)
{
    constexpr duration reference_latency = std::chrono::seconds(1);
    double const median_us = std::exp(estimate.mean_log);
    if (estimate.samples < min_estimate_samples)
        return reference_latency;
    return duration(static_cast<duration::rep>(
        static_cast<double>(reference_latency.count()) *
        static_cast<double>(latency.count()) / median_us));
}

void update_estimates(service_state& service, homed_server_state& server,
                      in_flight_request const& ended,
                      dispatch::finished const& finished_run, time_point now)
{
    priority_state& priority = service.priorities[ended.request.priority];
    if (finished_run.result == dispatch::result_class::refused_not_run &&
        !is_limit_refusal(server, finished_run) &&
        observe_refusal(finished_run) != observation::refused_when_free)
        on_shed(server.limit, ended.concurrency);
    bool const has_succeeded =
        finished_run.result == dispatch::result_class::answered &&
        finished_run.status < 500;
    if (has_succeeded)
    {
        on_success(server.limit);
        on_latency(server.limit, ended.request.priority, finished_run.latency,
                   ended.concurrency, service.queued > 0, now);
    }
    // A timed-out request took at least this long; leaving it out would make a
    // slow service look fast.
    if (has_succeeded ||
        finished_run.result == dispatch::result_class::timed_out)
        add_sample(priority.estimate, finished_run.latency);
}

/// Removes an ended run from its server and returns it.
active_run free_slot(homed_server_state& server, in_flight_request const& ended,
                     std::uint64_t ticket)
{
    auto const found =
        std::ranges::find(server.active, ticket, &active_run::ticket);
    active_run const run = *found;
    server.active.erase(found);
    --server.in_flight;
    server.lower_in_flight -= ended.is_urgent ? 0 : 1;
    server.has_unreported_load = true;
    return run;
}

work_result make_finished_result(admission_state const& state,
                                 in_flight_request const& ended,
                                 dispatch::finished&& finished_run,
                                 time_point now)
{
    mapped_result const mapped = map_result_class(finished_run.result);
    work_result result =
        make_result(state, ended.request, mapped.kind, mapped.run_outcome, now);
    result.status = mapped.kind == error_kind::none
                        ? finished_run.status
                        : error_response_for(mapped.kind).status;
    result.content_type = std::move(finished_run.content_type);
    result.headers = std::move(finished_run.headers);
    result.body = std::move(finished_run.body);
    result.detail = std::move(finished_run.detail);
    result.service_time = finished_run.latency;
    return result;
}

/// Records what the end of a run shows about the calls of such runs.
void record_calls(admission_state& state, service_state& service,
                  priority_index priority, bool has_failed, time_point began,
                  time_point now, actions& out)
{
    call_outcomes& calls = service.priorities[priority].calls;
    if (!record_run(calls, has_failed, began, now))
        return;
    out.log.push_back(event_line(event::calls_failing)
                          .field("service", service.policy.service)
                          .field("priority", static_cast<int>(priority))
                          .field("state", calls.is_failing ? "begun" : "ended")
                          .field("failed", count_failed(calls))
                          .field("runs", calls.samples.size()));
    if (calls.is_failing)
        refuse_queued_for_calls(state, service, priority, now, out);
}

/// Refuses the queued requests that would outlast a shutdown.
void refuse_unfinishable(admission_state& state, service_state& service,
                         time_point now, actions& out)
{
    entry_predicate const is_unfinishable = [&](work_request const& entry)
    { return outlasts_shutdown(state, service, entry.priority, now); };
    refuse_matching(state, service, is_unfinishable, error_kind::draining,
                    "daemon_draining", now, out);
}

bool matches_cancellation(work_request const& request,
                          cancel const& cancellation)
{
    return request.id == cancellation.id &&
           request.attempt == cancellation.attempt &&
           request.origin == cancellation.origin;
}

void report_loads(admission_state& state, time_point now, actions& out)
{
    for (auto& [name, server] : state.servers)
    {
        if (!server.has_unreported_load ||
            now - server.load_reported_at < load_report_interval)
            continue;
        server.has_unreported_load = false;
        server.load_reported_at = now;
        out.loads.push_back({name, server.in_flight, server.queued,
                             server.stated_limit.statement.is_leaving,
                             server.incarnation});
    }
}

bool has_changed_load(admission_state const& state)
{
    return std::ranges::any_of(state.servers, [](auto const& item)
                               { return item.second.has_unreported_load; });
}

constexpr duration idle_check_interval{1'000'000};

} // namespace

void on_finished(admission_state& state, dispatch::finished&& finished_run,
                 time_point now, actions& out)
{
    auto const found = state.in_flight.find(finished_run.ticket);
    if (found == state.in_flight.end())
        return;
    in_flight_request const ended = std::move(found->second);
    state.in_flight.erase(found);
    service_state& service = state.services.at(ended.request.service);
    homed_server_state& server = state.servers.at(ended.server);
    active_run const run = free_slot(server, ended, finished_run.ticket);
    correct_charge(service.credits, ended.request.priority, ended.charged_time,
                   finished_run.latency);
    if (finished_run.statement)
        apply_answer_statement(state, server, *finished_run.statement,
                               run.started, now, out);
    service_time_estimate const& estimate =
        service.priorities[ended.request.priority].estimate;
    auto const observed = is_limit_refusal(server, finished_run)
                              ? std::nullopt
                              : observe_result(finished_run, estimate);
    if (observed)
    {
        out.samples.push_back(
            {ended.server, ended.request.service, to_sample_class(*observed),
             normalize_latency(estimate, finished_run.latency), now});
        bool const completes =
            *observed == observation::success && run.has_progressed;
        record_observation(state, service, server,
                           completes ? observation::completion : *observed,
                           run.started, now, out);
    }
    update_estimates(service, server, ended, finished_run, now);
    if (observed == observation::success ||
        observed == observation::late_failure)
        record_calls(state, service, ended.request.priority,
                     *observed == observation::late_failure, run.started, now,
                     out);
    if (finished_run.result == dispatch::result_class::refused_not_run)
        out.server_refusals.push_back(observe_refusal(finished_run));
    record_refusing(server, finished_run, now, out);
    work_result result =
        make_finished_result(state, ended, std::move(finished_run), now);
    if (!ended.request.claim.id.empty())
        record_claim_result(state.claims, ended.request.claim, result, now);
    out.results.push_back({ended.request.origin, ended.request.origin_address,
                           std::move(result)});
    if (server.state == members::server_state::gone && server.in_flight == 0)
        state.servers.erase(ended.server);
    start_queued(state, service, now, out);
}

void on_cancel(admission_state& state, cancel const& cancellation,
               time_point now, actions& out)
{
    entry_predicate const matches = [&](work_request const& entry)
    { return matches_cancellation(entry, cancellation); };
    for (auto& [name, service] : state.services)
        refuse_matching(state, service, matches, error_kind::cancelled,
                        "caller_gone", now, out);
    if (cancellation.is_queued_only)
        return;
    for (auto const& [ticket, running] : state.in_flight)
    {
        if (matches_cancellation(running.request, cancellation) &&
            running.request.repeatable)
            out.cancels.push_back({ticket});
    }
}

void on_fence(admission_state& state, claims::fence const& request,
              time_point now, actions& out)
{
    claims::fence_response reply;
    if (request.home == state.own_daemon)
        reply = fence_claim(state.claims, request.claim, now);
    reply.claim = request.claim;
    reply.home = state.own_daemon;
    out.fence_responses.push_back(
        {request.sender, request.sender_address, std::move(reply)});
    if (request.home != state.own_daemon ||
        out.fence_responses.back().response.state !=
            claims::fence_state::fenced)
        return;
    entry_predicate const is_fenced = [&](work_request const& entry)
    {
        return entry.claim.id == request.claim.id &&
               entry.claim.epoch <= request.claim.epoch;
    };
    // The successor may run the claim, so the outcome of the attempt is unknown
    // instead of "not run".
    for (auto& [name, service] : state.services)
        refuse_matching(state, service, is_fenced, error_kind::outcome_unknown,
                        "claim_fenced", now, out);
}

void on_shutdown_notice(admission_state& state, shutdown_notice const& notice,
                        time_point now, actions& out)
{
    state.shutdown_end = notice.end;
    for (auto& item : state.services)
        refuse_unfinishable(state, item.second, now, out);
}

void on_drain(admission_state& state, time_point now, actions& out)
{
    state.is_draining = true;
    entry_predicate const any = [](work_request const&) { return true; };
    for (auto& [name, service] : state.services)
        refuse_matching(state, service, any, error_kind::draining,
                        "daemon_draining", now, out);
}

namespace
{

/// A request that has run for this many times the 99th percentile of its
/// service time counts as evidence that the server does not respond, before its
/// deadline passes.
constexpr int overdue_factor = 2;
constexpr double overdue_sigmas = 2.33;
constexpr duration min_overdue_time = std::chrono::milliseconds(100);

/// Records overdue runs as evidence against their servers. Returns the time at
/// which the next run becomes overdue, or at most idle_check_interval from
/// \p now.
time_point record_overdue_runs(admission_state& state, time_point now,
                               actions& out)
{
    time_point next = now + idle_check_interval;
    for (auto& [name, server] : state.servers)
    {
        if (server.active.empty())
            continue;
        service_state& service = state.services.at(server.service);
        for (active_run& run : server.active)
        {
            service_time_estimate const& estimate =
                service.priorities[run.priority].estimate;
            if (run.is_overdue || estimate.samples < min_estimate_samples)
                continue;
            time_point const due =
                run.started +
                std::max(min_overdue_time,
                         overdue_factor *
                             quantile_time(estimate, overdue_sigmas));
            if (due > now)
            {
                next = std::min(next, due);
                continue;
            }
            run.is_overdue = true;
            record_observation(state, service, server, observation::overdue,
                               run.started, now, out);
        }
    }
    return next;
}

/// A request without a claim that has waited for this many times its target
/// will not get a slot here in time. It is refused, so that its caller gets the
/// response while it still has time.
constexpr int max_wait_targets = 2;

bool exceeds_max_wait(service_state const& service, work_request const& request,
                      time_point now)
{
    duration const target = service.policy.priorities[request.priority].target;
    return target.count() > 0 && request.claim.id.empty() &&
           now - request.received >= max_wait_targets * target;
}

/// Refuses late entries and those that would outlast a shutdown, and starts
/// others in slots that became free without a message: in the warm-up ramp,
/// because the reserve may be used or because the server's own limit allows
/// it. Returns the number of entries that remain.
std::size_t check_queues(admission_state& state, time_point now, actions& out)
{
    std::size_t queued = 0;
    for (auto& item : state.services)
    {
        service_state& service = item.second;
        if (service.queued == 0)
            continue;
        entry_predicate const is_late = [&](work_request const& request)
        { return misses_deadline(service, request, now); };
        refuse_matching(state, service, is_late, error_kind::deadline_unmet,
                        "deadline_in_queue", now, out);
        refuse_unfinishable(state, service, now, out);
        entry_predicate const has_waited_too_long =
            [&](work_request const& request)
        { return exceeds_max_wait(service, request, now); };
        refuse_matching(state, service, has_waited_too_long,
                        error_kind::overloaded, "late_in_queue", now, out);
        start_queued(state, service, now, out);
        queued += service.queued;
    }
    return queued;
}

} // namespace

time_point on_tick(admission_state& state, time_point now, actions& out)
{
    if (now >= state.next_queue_check)
    {
        std::size_t const queued = check_queues(state, now, out);
        state.next_queue_check =
            now + (queued > 0 ? queue_check_interval : idle_check_interval);
        expire_claims(state.claims, now);
    }
    time_point next =
        std::min(state.next_queue_check, record_overdue_runs(state, now, out));
    report_loads(state, now, out);
    if (has_changed_load(state))
        next = std::min(next, now + load_report_interval);
    return next;
}

} // namespace gooseberrycove::admission
