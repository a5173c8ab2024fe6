#include "schedule.hpp"

#include "refuse.hpp"
#include "risk.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace gooseberrycove::admission
{

namespace
{

/// Largest probability with which urgent work may find all slots taken beyond
/// its target, for lower work to use a reserved slot. Urgent work that is
/// late here still has two other homes to try.
constexpr double reserve_risk = 0.04;

/// Servers with fewer slots have none in reserve.
constexpr std::uint32_t least_slots_for_reserve = 3;

/// Accounts may be ahead of each other by this many pieces of work before the
/// earliest deadline gives way to the fair share.
constexpr int fair_slack_items = 4;

/// Deviations above the median of the service time that a deadline allows
/// for. Claimed work that times out leaves an unknown outcome, which its caller
/// has to settle. On an open route a refusal is a certain loss where a start is
/// a likely success: with 2.33 a quarter of the payments was refused on the
/// users' heaviest day.
constexpr double repeatable_sigmas = 1.0;
constexpr double open_sigmas = 0.5;
constexpr double claimed_sigmas = 2.33;

double deadline_sigmas(work_request const& what)
{
    if (what.repeatable)
        return repeatable_sigmas;
    return what.claim.id.empty() ? open_sigmas : claimed_sigmas;
}

using priority_order = std::array<priority_index, max_priorities>;

/// Time for which a priority's share is owed; 0 for one at or above it.
double owed_time(service_state const& service, priority_index priority)
{
    double const share = service.policy.priorities[priority].min_share;
    double const credit = service.shares.credit_us[priority];
    return credit > 0 && share > 0 ? credit / share : 0;
}

/// Priorities below their minimum share first, then by rank. Among the former
/// the one that is owed most goes first: by rank, the lower ones would starve
/// when a server works slower than its slots promise.
priority_order order_of(service_state const& service)
{
    priority_order order{};
    std::iota(order.begin(), order.end(), priority_index{0});
    std::ranges::stable_sort(order, std::ranges::greater{},
                             [&](priority_index priority)
                             { return owed_time(service, priority); });
    return order;
}

/// Whether lower work may take a reserved slot: what is in flight, with the
/// work that would start, ends soon enough for urgent work to meet its target.
/// With a reserve that lower work never used, a flood of it used 94% of the
/// capacity left by urgent work.
bool reserve_is_open(service_state const& service, homed_state const& server,
                     priority_index priority, time_point now)
{
    std::vector<active_run> active = server.active;
    active.push_back({0, priority, now});
    return late_risk(service, active, 0, target_slack(service, duration(0)),
                     now) <= reserve_risk;
}

bool has_slot(service_state const& service, homed_state const& server,
              priority_index priority, time_point now)
{
    std::uint32_t const slots = slots_of(server, service.policy, now);
    if (server.in_flight >= slots)
        return false;
    if (priority == urgent_priority(service.policy) ||
        slots < least_slots_for_reserve)
        return true;
    std::uint32_t const reserved =
        std::min(service.policy.reserved_slots, slots - 1);
    return server.lower_in_flight + reserved < slots ||
           reserve_is_open(service, server, priority, now);
}

void start(state& self, service_state& service, homed_state& server,
           work_request&& taken, duration charged, time_point now, actions& out)
{
    --service.queued;
    count_queued(self, taken.server, -1);
    running begun;
    // The body goes to dispatch alone.
    std::string body = std::move(taken.body);
    begun.what = taken;
    taken.body = std::move(body);
    begun.what.server = server.name;
    begun.server = server.name;
    begun.charged = charged;
    begun.urgent = taken.priority == urgent_priority(service.policy);
    begun.concurrency = ++server.in_flight;
    server.active.push_back({self.last_ticket + 1, taken.priority, now});
    server.lower_in_flight += begun.urgent ? 0 : 1;
    server.load_changed = true;
    count_arrival(service.arrivals, taken.retry_weight, now);
    if (!taken.claim.id.empty())
        claim_started(self.claims, taken.claim);
    charge_start(service.shares, taken.priority, charged);
    out.decisions.push_back(
        make_decision(self, event::work_started, taken, server.name,
                      taken.server.empty() ? "free_slot" : "routed"));
    out.starts.push_back(
        {++self.last_ticket, server.name, server.address, std::move(taken)});
    self.in_flight.emplace(self.last_ticket, std::move(begun));
}

/// Whether work for which routing chose no server may use this one: an ejected
/// server only when the service has no other here.
bool takes_unchosen(state const& self, service_state const& service,
                    homed_state const& server)
{
    auto const is_better = [&](std::string const& name)
    {
        homed_state const& other = self.servers.at(name);
        return other.health.health == health_state::healthy &&
               other.state == members::server_state::serving;
    };
    return server.health.health != health_state::ejected ||
           std::ranges::none_of(service.servers, is_better);
}

/// Starts one piece of work of a priority at a server that has a slot for it.
/// \param in_time  takes only work that can still meet its target
bool start_one(state& self, service_state& service, homed_state& server,
               priority_index priority, bool in_time, time_point now,
               actions& out)
{
    priority_state& from = service.priorities[priority];
    duration const expected = expected_time(from.estimate);
    bool const unchosen = takes_unchosen(self, service, server);
    eligible const may_take = [&](work_request const& item)
    {
        bool const fits =
            item.server.empty() ? unchosen : item.server == server.name;
        return fits && takes_work(server, item.repeatable) &&
               (!in_time ||
                meets_target(service, priority, item.received, now));
    };
    while (auto const position =
               select(from.queue, may_take, fair_slack_items * expected))
    {
        if (misses_deadline(service, from.queue.entries[*position], now))
        {
            refuse_queued(self, service, remove_at(from.queue, *position),
                          error_kind::deadline_unmet, "deadline_before_start",
                          now, out);
            continue;
        }
        start(self, service, server, serve_at(from.queue, *position, expected),
              expected, now, out);
        return true;
    }
    return false;
}

bool start_next(state& self, service_state& service, homed_state& server,
                time_point now, actions& out)
{
    // A slot given to work that is late anyway makes other work late as well,
    // so late work only gets what the rest leaves.
    for (bool const in_time : {true, false})
    {
        for (priority_index const priority : order_of(service))
        {
            if (service.priorities[priority].queue.entries.empty() ||
                !has_slot(service, server, priority, now))
                continue;
            if (start_one(self, service, server, priority, in_time, now, out))
                return true;
        }
    }
    return false;
}

double to_us(duration time)
{
    return static_cast<double>(time.count());
}

/// Slot-time of a priority's entries that the server may get, with a deadline
/// up to \p deadline.
/// \param in_time  leaves out entries that can no longer meet their target,
///                 because they are served after those that can
double backlog_us(service_state const& service, homed_state const& server,
                  priority_index priority, time_point deadline, bool in_time,
                  time_point now)
{
    double items = 0;
    for (work_request const& waiting :
         service.priorities[priority].queue.entries)
    {
        if (waiting.deadline > deadline ||
            (in_time &&
             !meets_target(service, priority, waiting.received, now)))
            continue;
        if (waiting.server.empty())
            items += 1.0 / static_cast<double>(service.servers.size());
        else if (waiting.server == server.name)
            ++items;
    }
    return items * to_us(expected_time(service.priorities[priority].estimate));
}

/// The wait behind the entries that are served before the work, with or
/// without those that are late.
duration wait_behind(service_state const& service, homed_state const& server,
                     priority_index priority, time_point deadline, bool in_time,
                     time_point now)
{
    double ahead = 0;
    double lower_shares = 0;
    for (priority_index i = 0; i < max_priorities; ++i)
    {
        if (i < priority)
            ahead +=
                backlog_us(service, server, i, time_point::max(), in_time, now);
        else if (i > priority && !service.priorities[i].queue.entries.empty())
            lower_shares += service.policy.priorities[i].min_share;
    }
    double const own =
        backlog_us(service, server, priority, deadline, in_time, now) +
        to_us(expected_time(service.priorities[priority].estimate));
    double const slots = slots_of(server, service.policy, now);
    double wait = (ahead + own) / (slots * std::max(0.05, 1 - lower_shares));
    // The minimum share bounds the wait under a flood of more urgent work.
    double const share = service.policy.priorities[priority].min_share;
    if (share > 0)
        wait = std::min(wait, own / (slots * share));
    return duration(static_cast<duration::rep>(wait));
}

} // namespace

priority_index urgent_priority(service_policy const& policy)
{
    for (priority_index i = 0; i < max_priorities; ++i)
    {
        if (policy.priorities[i].declared)
            return i;
    }
    return 0;
}

duration warmup_of(homed_state const& server, service_policy const& policy)
{
    return server.warmup.count() > 0 ? server.warmup : policy.warmup;
}

std::uint32_t slots_of(homed_state const& server, service_policy const& policy,
                       time_point now)
{
    if (server.health.health == health_state::probation)
        return 1;
    return usable_slots(server.limit, server.announced,
                        warmup_of(server, policy), now);
}

bool takes_work(homed_state const& server, bool repeatable)
{
    return server.state == members::server_state::serving &&
           (repeatable || server.health.health != health_state::probation);
}

bool misses_deadline(service_state const& service, work_request const& what,
                     time_point start)
{
    service_estimate const& estimate =
        service.priorities[what.priority].estimate;
    duration const needed =
        std::max(expected_time(estimate),
                 quantile_time(estimate, deadline_sigmas(what)));
    return start >= what.deadline || start + needed > what.deadline;
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

void start_queued(state& self, service_state& service, time_point now,
                  actions& out)
{
    advance_shares(self, service, now);
    bool started = service.queued > 0;
    // One start per server and pass spreads work that no server was chosen for.
    while (started && service.queued > 0)
    {
        started = false;
        for (std::string const& name : service.servers)
            started |=
                start_next(self, service, self.servers.at(name), now, out);
    }
}

duration expected_wait(service_state const& service, homed_state const& server,
                       work_request const& what, time_point now)
{
    if (has_slot(service, server, what.priority, now) &&
        service.priorities[what.priority].queue.entries.empty())
        return duration(0);
    duration const in_time =
        wait_behind(service, server, what.priority, what.deadline, true, now);
    if (meets_target(service, what.priority, what.received, now + in_time))
        return in_time;
    return wait_behind(service, server, what.priority, what.deadline, false,
                       now);
}

void advance_shares(state const& self, service_state& service, time_point now)
{
    double slots = 0;
    for (std::string const& name : service.servers)
    {
        homed_state const& server = self.servers.at(name);
        if (server.state == members::server_state::serving)
            slots += slots_of(server, service.policy, now);
    }
    std::array<double, max_priorities> entitled{};
    for (std::size_t i = 0; i < max_priorities; ++i)
    {
        if (!service.priorities[i].queue.entries.empty())
            entitled[i] = slots * service.policy.priorities[i].min_share;
    }
    advance(service.shares, entitled, now);
}

} // namespace gooseberrycove::admission
