#include "decide.hpp"

#include "refuse.hpp"
#include "schedule.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::admission
{

namespace
{

struct mapped_end
{
    error_kind kind = error_kind::none;
    outcome result = outcome::unknown;
};

mapped_end map_end(dispatch::result_class what)
{
    switch (what)
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

/// Deviations above the median of the log-normal fit for the 95th percentile.
constexpr double p95_sigmas = 1.645;

/// A failure that takes less than this share of the usual time is one of the
/// server itself: nothing was tried.
constexpr double fast_share = 0.25;

/// What a result says about whether the server fails at present.
std::optional<observation> observe(dispatch::finished const& done,
                                   service_estimate const& estimate)
{
    using dispatch::result_class;
    auto const usual = static_cast<double>(expected_time(estimate).count());
    switch (done.result)
    {
    case result_class::answered:
        if (done.status < 500)
            return observation::success;
        return static_cast<double>(done.latency.count()) < fast_share * usual
                   ? observation::fast_failure
                   : observation::late_failure;
    case result_class::refused_not_run:
        return observation::refused;
    case result_class::connect_failed:
        // Without latency nothing was attempted.
        if (done.latency.count() == 0)
            return std::nullopt;
        return observation::lost;
    case result_class::cut:
        return observation::lost;
    case result_class::timed_out:
        // A short deadline says nothing about the server.
        if (done.latency < quantile_time(estimate, p95_sigmas))
            return std::nullopt;
        return observation::overdue;
    case result_class::cancelled:
        break;
    }
    return std::nullopt;
}

/// The same for the sequential test of health.
health::sample_class class_of(observation what)
{
    switch (what)
    {
    case observation::success:
    case observation::progress:
    case observation::completion:
        return health::sample_class::success;
    case observation::refused:
        return health::sample_class::shed;
    case observation::overdue:
        return health::sample_class::timeout;
    case observation::fast_failure:
    case observation::late_failure:
    case observation::lost:
        break;
    }
    return health::sample_class::failure;
}

/// Gives back queued work that can still go elsewhere.
void return_doubtful(state& self, service_state& service,
                     homed_state const& server, time_point now, actions& out)
{
    eligible const avoids_it = [&](work_request const& item)
    {
        return item.server == server.name &&
               (item.has_other_homes || !item.repeatable) &&
               item.accepted_failure_probability < failure_probability_limit;
    };
    refuse_matching(self, service, avoids_it, error_kind::no_server,
                    "server_doubtful", now, out);
}

void take_doubt(state& self, service_state& service, homed_state& server,
                observation what, time_point began, time_point now,
                actions& out)
{
    double const before = doubt_at(server.failing, now);
    take_observation(server.failing, what, began, now);
    if (before < failure_probability_limit &&
        server.failing.probability >= failure_probability_limit)
        return_doubtful(self, service, server, now, out);
}

/// Samples after which the usual time of a priority is known.
constexpr double min_usual_samples = 20;

/// See health::sample. Servers that serve another mix of priorities than their
/// siblings would otherwise look slow: reads of 2 ms and work of 0.5 s share a
/// service. A server that is slower all the time is not at fault.
duration comparable_latency(service_estimate const& usual, duration latency)
{
    constexpr duration unit = std::chrono::seconds(1);
    double const median = std::exp(usual.mean_log);
    if (usual.samples < min_usual_samples)
        return unit;
    return duration(static_cast<duration::rep>(
        static_cast<double>(unit.count()) *
        static_cast<double>(latency.count()) / median));
}

void learn(service_state& service, homed_state& server, running const& ended,
           dispatch::finished const& done, time_point now)
{
    priority_state& priority = service.priorities[ended.what.priority];
    if (done.result == dispatch::result_class::refused_not_run)
        on_shed(server.limit, ended.concurrency);
    bool const answered =
        done.result == dispatch::result_class::answered && done.status < 500;
    if (answered)
    {
        on_answer(server.limit);
        on_latency(server.limit, ended.what.priority, done.latency,
                   ended.concurrency, service.queued > 0, now);
    }
    // A timed out request took at least this long; leaving it out would make
    // a slow service look fast.
    if (answered || done.result == dispatch::result_class::timed_out)
        add_sample(priority.estimate, done.latency);
}

/// Returns what was known of the run.
active_run free_slot(homed_state& server, running const& ended,
                     std::uint64_t ticket)
{
    auto const found =
        std::ranges::find(server.active, ticket, &active_run::ticket);
    active_run const run = *found;
    server.active.erase(found);
    --server.in_flight;
    server.lower_in_flight -= ended.urgent ? 0 : 1;
    server.load_changed = true;
    return run;
}

work_result result_of(state const& self, running const& ended,
                      dispatch::finished&& done)
{
    mapped_end const end = map_end(done.result);
    work_result result = make_result(self, ended.what, end.kind, end.result);
    result.status = end.kind == error_kind::none
                        ? done.status
                        : error_response_for(end.kind).status;
    result.content_type = std::move(done.content_type);
    result.headers = std::move(done.headers);
    result.body = std::move(done.body);
    result.detail = std::move(done.detail);
    result.service_time = done.latency;
    return result;
}

bool is_attempt(work_request const& what, cancel const& which)
{
    return what.id == which.id && what.attempt == which.attempt &&
           what.origin == which.origin;
}

void report_loads(state& self, time_point now, actions& out)
{
    for (auto& [name, server] : self.servers)
    {
        if (!server.load_changed || now - server.load_reported < load_interval)
            continue;
        server.load_changed = false;
        server.load_reported = now;
        out.loads.push_back({name, server.in_flight, server.queued});
    }
}

bool has_changed_load(state const& self)
{
    return std::ranges::any_of(self.servers, [](auto const& item)
                               { return item.second.load_changed; });
}

constexpr duration idle_check{1'000'000};

} // namespace

void on_finished(state& self, dispatch::finished&& done, time_point now,
                 actions& out)
{
    auto const found = self.in_flight.find(done.ticket);
    if (found == self.in_flight.end())
        return;
    running const ended = std::move(found->second);
    self.in_flight.erase(found);
    service_state& service = self.services.at(ended.what.service);
    homed_state& server = self.servers.at(ended.server);
    active_run const run = free_slot(server, ended, done.ticket);
    charge_end(service.shares, ended.what.priority, ended.charged,
               done.latency);
    service_estimate const& usual =
        service.priorities[ended.what.priority].estimate;
    if (auto const seen = observe(done, usual))
    {
        out.samples.push_back({ended.server, ended.what.service,
                               class_of(*seen),
                               comparable_latency(usual, done.latency), now});
        bool const completes = *seen == observation::success && run.progressed;
        take_doubt(self, service, server,
                   completes ? observation::completion : *seen, run.started,
                   now, out);
    }
    learn(service, server, ended, done, now);
    work_result result = result_of(self, ended, std::move(done));
    if (!ended.what.claim.id.empty())
        claim_ended(self.claims, ended.what.claim, result, now);
    out.answers.push_back(
        {ended.what.origin, ended.what.origin_address, std::move(result)});
    if (server.state == members::server_state::gone && server.in_flight == 0)
        self.servers.erase(ended.server);
    start_queued(self, service, now, out);
}

void on_cancel(state& self, cancel const& which, time_point now, actions& out)
{
    eligible const matches = [&](work_request const& item)
    { return is_attempt(item, which); };
    for (auto& [name, service] : self.services)
        refuse_matching(self, service, matches, error_kind::cancelled,
                        "caller_gone", now, out);
    if (which.queued_only)
        return;
    for (auto const& [ticket, begun] : self.in_flight)
    {
        if (is_attempt(begun.what, which) && begun.what.repeatable)
            out.cancels.push_back({ticket});
    }
}

void on_fence(state& self, claims::fence const& request, time_point now,
              actions& out)
{
    claims::fence_response reply;
    if (request.home == self.self)
        reply = fence_claim(self.claims, request.claim, now);
    reply.claim = request.claim;
    reply.home = self.self;
    out.fences.push_back(
        {request.sender, request.sender_address, std::move(reply)});
    if (request.home != self.self ||
        out.fences.back().answer.state != claims::fence_state::fenced)
        return;
    eligible const is_fenced = [&](work_request const& item)
    {
        return item.claim.id == request.claim.id &&
               item.claim.epoch <= request.claim.epoch;
    };
    // The successor may run the claim, so the attempt is not "not run".
    for (auto& [name, service] : self.services)
        refuse_matching(self, service, is_fenced, error_kind::outcome_unknown,
                        "claim_fenced", now, out);
}

void on_drain(state& self, time_point now, actions& out)
{
    self.draining = true;
    eligible const any = [](work_request const&) { return true; };
    for (auto& [name, service] : self.services)
        refuse_matching(self, service, any, error_kind::draining,
                        "daemon_draining", now, out);
}

namespace
{

/// Work that has run this many times longer than the 99th percentile is taken
/// as a sign that the server does not answer, before its deadline shows it.
constexpr int overdue_factor = 2;
constexpr double overdue_sigmas = 2.33;
constexpr duration least_overdue = std::chrono::milliseconds(100);

/// Takes overdue work as evidence. Returns the time at which the next piece of
/// work is overdue.
time_point check_overdue(state& self, time_point now, actions& out)
{
    time_point next = now + idle_check;
    for (auto& [name, server] : self.servers)
    {
        if (server.active.empty())
            continue;
        service_state& service = self.services.at(server.service);
        for (active_run& run : server.active)
        {
            service_estimate const& usual =
                service.priorities[run.priority].estimate;
            if (run.overdue || usual.samples < min_usual_samples)
                continue;
            time_point const due =
                run.started +
                std::max(least_overdue,
                         overdue_factor * quantile_time(usual, overdue_sigmas));
            if (due > now)
            {
                next = std::min(next, due);
                continue;
            }
            run.overdue = true;
            take_doubt(self, service, server, observation::overdue, run.started,
                       now, out);
        }
    }
    return next;
}

/// Work that has waited for this many times its target finds no slot here; its
/// caller hears so while it still has time.
constexpr int longest_wait_targets = 2;

bool has_waited_long(service_state const& service, work_request const& waiting,
                     time_point now)
{
    duration const target = service.policy.priorities[waiting.priority].target;
    return target.count() > 0 && waiting.claim.id.empty() &&
           now - waiting.received >= longest_wait_targets * target;
}

/// Refuses late entries and uses slots that a ramp or an opened reserve
/// frees without a message. Returns the entries that remain.
std::size_t check_queues(state& self, time_point now, actions& out)
{
    std::size_t queued = 0;
    for (auto& item : self.services)
    {
        service_state& service = item.second;
        if (service.queued == 0)
            continue;
        eligible const is_late = [&](work_request const& waiting)
        { return misses_deadline(service, waiting, now); };
        refuse_matching(self, service, is_late, error_kind::deadline_unmet,
                        "deadline_in_queue", now, out);
        eligible const waited_long = [&](work_request const& waiting)
        { return has_waited_long(service, waiting, now); };
        refuse_matching(self, service, waited_long, error_kind::overloaded,
                        "late_in_queue", now, out);
        start_queued(self, service, now, out);
        queued += service.queued;
    }
    return queued;
}

} // namespace

time_point on_tick(state& self, time_point now, actions& out)
{
    if (now >= self.next_queue_check)
    {
        std::size_t const queued = check_queues(self, now, out);
        self.next_queue_check = now + (queued > 0 ? queue_check : idle_check);
        forget_claims(self.claims, now);
    }
    time_point next =
        std::min(self.next_queue_check, check_overdue(self, now, out));
    report_loads(self, now, out);
    if (has_changed_load(self))
        next = std::min(next, now + load_interval);
    return next;
}

} // namespace gooseberrycove::admission
