#include "schedule.hpp"

#include "miss_probability.hpp"
#include "refuse.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace gooseberrycove::admission
{

namespace
{

/// Lower-priority work may use a reserved slot while the probability that
/// urgent work gets no slot in time for its target is at most this. Urgent work
/// that would be late at this home has two other homes to try.
constexpr double max_reserve_miss_probability = 0.04;

/// Servers with fewer slots have none in reserve.
constexpr std::uint32_t min_slots_for_reserve = 3;

/// Accounts may be ahead of each other by this many requests before the fair
/// share takes precedence over the earliest deadline.
constexpr int fair_slack_requests = 4;

/// A request starts only when its deadline leaves time for the quantile of the
/// service time this many deviations above the median. Claimed work that times
/// out leaves an unknown outcome, which its caller has to settle. Work without
/// a claim, on an open route, fails when it is refused but is likely to succeed
/// when started: with 2.33, a quarter of the payments was refused under heavy
/// load.
constexpr double repeatable_sigmas = 1.0;
constexpr double unclaimed_sigmas = 0.5;
constexpr double claimed_sigmas = 2.33;

/// The same for work that starts during a shutdown: other homes can run it, and
/// the end of the process would leave an unknown outcome.
constexpr double shutdown_sigmas = 2.33;

double deadline_sigmas(work_request const& request)
{
    if (request.repeatable)
        return repeatable_sigmas;
    return request.claim.id.empty() ? unclaimed_sigmas : claimed_sigmas;
}

using priority_order = std::array<priority_index, max_priorities>;

/// Time for which a priority has missed its minimum share; 0 when it has its
/// share.
double share_deficit_time(service_state const& service, priority_index priority)
{
    double const share = service.policy.priorities[priority].min_share;
    double const credit = service.credits.credit_us[priority];
    return credit > 0 && share > 0 ? credit / share : 0;
}

/// Priorities below their minimum share first, then by rank. Among the former
/// the one with the largest deficit is first: ordered by rank, the lower ones
/// would starve when a server is slower than its slots suggest.
priority_order order_priorities(service_state const& service)
{
    priority_order order{};
    std::iota(order.begin(), order.end(), priority_index{0});
    std::ranges::stable_sort(order, std::ranges::greater{},
                             [&](priority_index priority)
                             { return share_deficit_time(service, priority); });
    return order;
}

/// Whether lower-priority work may use a reserved slot: the requests in flight,
/// including the one that would start, end soon enough for urgent work to meet
/// its target. With a reserve that lower-priority work never used, a flood of
/// it used only 94% of the capacity left by urgent work.
bool may_use_reserve(service_state const& service,
                     homed_server_state const& server, priority_index priority,
                     time_point now)
{
    std::vector<active_run> active = server.active;
    active.push_back({0, priority, now});
    return slot_miss_probability(service, active, 0,
                                 target_slack(service, duration(0)),
                                 now) <= max_reserve_miss_probability;
}

bool has_slot(service_state const& service, homed_server_state const& server,
              priority_index priority, time_point now)
{
    std::uint32_t const slots = slots_of(server, service.policy, now);
    if (server.in_flight >= slots ||
        time_to_start(server.stated_limit, 0, now) > duration(0))
        return false;
    if (priority == urgent_priority(service.policy) ||
        slots < min_slots_for_reserve)
        return true;
    std::uint32_t const reserved =
        std::min(service.policy.reserved_slots, slots - 1);
    return server.lower_in_flight + reserved < slots ||
           may_use_reserve(service, server, priority, now);
}

void start_entry(admission_state& state, service_state& service,
                 homed_server_state& server, work_request&& entry,
                 duration charged_time, time_point now, actions& out)
{
    --service.queued;
    adjust_queued(state, entry.server, -1);
    in_flight_request started;
    // The body is moved to dispatch; the record is kept without it.
    std::string body = std::move(entry.body);
    started.request = entry;
    entry.body = std::move(body);
    started.request.server = server.name;
    started.server = server.name;
    started.charged_time = charged_time;
    started.is_urgent = entry.priority == urgent_priority(service.policy);
    started.concurrency = ++server.in_flight;
    server.active.push_back({state.last_ticket + 1, entry.priority, now});
    server.lower_in_flight += started.is_urgent ? 0 : 1;
    server.has_unreported_load = true;
    count_arrival(service.arrivals, entry.retry_weight, now);
    count_start(server.stated_limit, now);
    if (!entry.claim.id.empty())
        mark_claim_running(state.claims, entry.claim);
    charge_start(service.credits, entry.priority, charged_time);
    out.decisions.push_back(
        make_decision(state, event::work_started, entry, server.name,
                      entry.server.empty() ? "free_slot" : "routed"));
    out.starts.push_back(
        {++state.last_ticket, server.name, server.address, std::move(entry)});
    state.in_flight.emplace(state.last_ticket, std::move(started));
}

/// Whether a request without a chosen server may run at this one. An ejected
/// server is used only when the service has no healthy one here.
bool accepts_unrouted(admission_state const& state,
                      service_state const& service,
                      homed_server_state const& server)
{
    auto const is_better = [&](std::string const& name)
    {
        homed_server_state const& other = state.servers.at(name);
        return other.status.health == health_state::healthy &&
               other.state == members::server_state::serving;
    };
    return server.status.health != health_state::ejected ||
           std::ranges::none_of(service.servers, is_better);
}

/// Starts one queued request of a priority at a server that has a slot for it.
/// Returns false when there is none to start.
/// \param only_timely  leaves out requests that can no longer meet their target
bool start_one(admission_state& state, service_state& service,
               homed_server_state& server, priority_index priority,
               bool only_timely, time_point now, actions& out)
{
    priority_state& candidates = service.priorities[priority];
    duration const expected = expected_time(candidates.estimate);
    bool const is_unrouted_accepted = accepts_unrouted(state, service, server);
    entry_predicate const is_eligible = [&](work_request const& entry)
    {
        bool const is_server_allowed = entry.server.empty()
                                           ? is_unrouted_accepted
                                           : entry.server == server.name;
        return is_server_allowed && accepts_work(server, entry.repeatable) &&
               (!only_timely ||
                meets_target(service, priority, entry.received, now));
    };
    while (auto const position = select_next(candidates.queue, is_eligible,
                                             fair_slack_requests * expected))
    {
        if (misses_deadline(service, candidates.queue.entries[*position], now))
        {
            refuse_queued(
                state, service, remove_at(candidates.queue, *position),
                error_kind::deadline_unmet, "deadline_before_start", now, out);
            continue;
        }
        start_entry(state, service, server,
                    remove_and_charge(candidates.queue, *position, expected),
                    expected, now, out);
        return true;
    }
    return false;
}

bool start_next(admission_state& state, service_state& service,
                homed_server_state& server, time_point now, actions& out)
{
    // A slot given to a request that is late anyway makes other requests late
    // as well, so late requests only get the slots that timely ones leave.
    for (bool const only_timely : {true, false})
    {
        for (priority_index const priority : order_priorities(service))
        {
            if (service.priorities[priority].queue.entries.empty() ||
                !has_slot(service, server, priority, now))
                continue;
            if (start_one(state, service, server, priority, only_timely, now,
                          out))
                return true;
        }
    }
    return false;
}

double to_us(duration time)
{
    return static_cast<double>(time.count());
}

/// Slot-time of the entries of a priority that the server may get, with a
/// deadline up to \p deadline.
/// \param only_timely  leaves out entries that can no longer meet their target,
///                     because they are served after those that can
double backlog_us(service_state const& service,
                  homed_server_state const& server, priority_index priority,
                  time_point deadline, bool only_timely, time_point now)
{
    double requests = 0;
    for (work_request const& entry : service.priorities[priority].queue.entries)
    {
        if (entry.deadline > deadline ||
            (only_timely &&
             !meets_target(service, priority, entry.received, now)))
            continue;
        if (entry.server.empty())
            requests += 1.0 / static_cast<double>(service.servers.size());
        else if (entry.server == server.name)
            ++requests;
    }
    return requests *
           to_us(expected_time(service.priorities[priority].estimate));
}

/// Expected wait of a request for the entries that are served before it.
/// \param only_timely  see backlog_us()
duration backlog_wait(service_state const& service,
                      homed_server_state const& server, priority_index priority,
                      time_point deadline, bool only_timely, time_point now)
{
    double ahead_us = 0;
    double lower_shares = 0;
    for (priority_index i = 0; i < max_priorities; ++i)
    {
        if (i < priority)
            ahead_us += backlog_us(service, server, i, time_point::max(),
                                   only_timely, now);
        else if (i > priority && !service.priorities[i].queue.entries.empty())
            lower_shares += service.policy.priorities[i].min_share;
    }
    double const own_us =
        backlog_us(service, server, priority, deadline, only_timely, now) +
        to_us(expected_time(service.priorities[priority].estimate));
    double const slots = slots_of(server, service.policy, now);
    double wait_us =
        (ahead_us + own_us) / (slots * std::max(0.05, 1 - lower_shares));
    // The minimum share bounds the wait under a flood of more urgent work.
    double const share = service.policy.priorities[priority].min_share;
    if (share > 0)
        wait_us = std::min(wait_us, own_us / (slots * share));
    return duration(static_cast<duration::rep>(wait_us));
}

} // namespace

priority_index urgent_priority(service_policy const& policy)
{
    for (priority_index i = 0; i < max_priorities; ++i)
    {
        if (policy.priorities[i].is_declared)
            return i;
    }
    return 0;
}

duration warmup_of(homed_server_state const& server,
                   service_policy const& policy)
{
    return server.warmup.count() > 0 ? server.warmup : policy.warmup;
}

std::uint32_t slots_of(homed_server_state const& server,
                       service_policy const& policy, time_point now)
{
    if (server.status.health == health_state::probation)
        return 1;
    return usable_slots(server.limit, server.announced_at,
                        warmup_of(server, policy), now);
}

bool accepts_work(homed_server_state const& server, bool repeatable)
{
    return server.state == members::server_state::serving &&
           !server.stated_limit.statement.is_leaving &&
           (repeatable || server.status.health != health_state::probation);
}

bool misses_deadline(service_state const& service, work_request const& request,
                     time_point start)
{
    service_time_estimate const& estimate =
        service.priorities[request.priority].estimate;
    duration const needed =
        std::max(expected_time(estimate),
                 quantile_time(estimate, deadline_sigmas(request)));
    return start >= request.deadline || start + needed > request.deadline;
}

bool outlasts_shutdown(admission_state const& state,
                       service_state const& service, priority_index priority,
                       time_point start)
{
    service_time_estimate const& estimate =
        service.priorities[priority].estimate;
    return state.shutdown_end != time_point::max() &&
           start + std::max(expected_time(estimate),
                            quantile_time(estimate, shutdown_sigmas)) >
               state.shutdown_end;
}

bool meets_target(service_state const& service, priority_index priority,
                  time_point received, time_point start)
{
    duration const target = service.policy.priorities[priority].target;
    if (target.count() == 0)
        return true;
    return start + expected_time(service.priorities[priority].estimate) <=
           received + target;
}

void start_queued(admission_state& state, service_state& service,
                  time_point now, actions& out)
{
    update_credits(state, service, now);
    bool has_started = service.queued > 0;
    // One start per server and pass spreads the requests without a chosen
    // server.
    while (has_started && service.queued > 0)
    {
        has_started = false;
        for (std::string const& name : service.servers)
            has_started |=
                start_next(state, service, state.servers.at(name), now, out);
    }
}

duration expected_wait(service_state const& service,
                       homed_server_state const& server,
                       work_request const& request, time_point now)
{
    if (has_slot(service, server, request.priority, now) &&
        service.priorities[request.priority].queue.entries.empty())
        return duration(0);
    duration const limit_wait =
        time_to_start(server.stated_limit, server.queued, now);
    duration const timely_wait =
        std::max(limit_wait, backlog_wait(service, server, request.priority,
                                          request.deadline, true, now));
    if (meets_target(service, request.priority, request.received,
                     now + timely_wait))
        return timely_wait;
    return std::max(limit_wait, backlog_wait(service, server, request.priority,
                                             request.deadline, false, now));
}

void update_credits(admission_state const& state, service_state& service,
                    time_point now)
{
    double slots = 0;
    for (std::string const& name : service.servers)
    {
        homed_server_state const& server = state.servers.at(name);
        if (server.state == members::server_state::serving)
            slots += slots_of(server, service.policy, now);
    }
    std::array<double, max_priorities> entitled{};
    for (std::size_t i = 0; i < max_priorities; ++i)
    {
        if (!service.priorities[i].queue.entries.empty())
            entitled[i] = slots * service.policy.priorities[i].min_share;
    }
    advance_credits(service.credits, entitled, now);
}

} // namespace gooseberrycove::admission
