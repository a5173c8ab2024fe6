#include "attempts.hpp"
#include "decisions.hpp"
#include "finish.hpp"

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

void take_statuses(state& self, work_result const& result, time_point now)
{
    for (server_status const& status : result.statuses)
    {
        auto const found = self.services.find(status.service);
        if (found == self.services.end())
            continue;
        found->second.doubts[status.server] = {status.failure_probability, now};
        for (members::candidate& who : found->second.candidates)
        {
            if (who.server != status.server || who.home != result.home)
                continue;
            who.in_flight = status.in_flight;
            who.queued = status.queued;
            who.health = status.health;
            who.score = status.score;
        }
    }
}

/// Homes that limit repeats know what has arrived; then this daemon's own
/// budget, which only knows its own callers, is not asked.
bool may_repeat(service_state& service, time_point now)
{
    return service.homes_limit_repeats || take_retry(service.budget, now);
}

bool is_good(work_result const& result)
{
    return result.kind == error_kind::none &&
           result.run_outcome == outcome::ran && result.status < 500;
}

/// Whether another home may be tried after this failure.
/// \param arrived  the request has reached a backend server, which makes
///                 another attempt a repeat at the service
bool may_move_on(state& self, request& what, outcome result, bool arrived,
                 time_point now)
{
    if (what.answered || has_open_attempt(what) || self.stopping)
        return false;
    if (result == outcome::not_run && !arrived)
        return true;
    if (result != outcome::not_run && !what.repeatable)
        return false;
    return what.attempts.size() < homes_allowed(what) && now < what.deadline &&
           may_repeat(service_of(self, what.service), now);
}

void on_failure(state& self, request& what, work_result&& result,
                time_point now, actions& out)
{
    outcome const known = result.run_outcome;
    bool const arrived = result.service_time.count() > 0;
    what.reached += arrived || known != outcome::not_run ? 1 : 0;
    std::string_view const reason = error_response_for(result.kind).name;
    keep_failure(what, std::move(result));
    if (what.now_in == phase::running &&
        may_move_on(self, what, known, arrived, now) &&
        start_attempt(self, what, event::request_retried, reason, now, out))
        return;
    if (has_open_attempt(what))
        return;
    answer_failure(self, what, now, out);
}

/// A result that claims more than its fields allow is taken as unknown.
void normalize(work_result& result)
{
    if (result.kind == error_kind::none && result.run_outcome != outcome::ran)
        result.kind = kind_for(error_kind::none, result.run_outcome);
}

/// Starts a second attempt beside an open one.
void add_attempt(state& self, request& what, bool hedge, time_point now,
                 actions& out)
{
    if (open_attempts(what) != 1 ||
        what.attempts.size() >= homes_allowed(what) ||
        what.reached + 1 >= what.most_reached)
        return;
    service_state& service = service_of(self, what.service);
    if (!(hedge ? take_hedge(service.budget, now) : may_repeat(service, now)))
        return;
    start_attempt(self, what,
                  hedge ? event::request_hedged : event::request_retried,
                  hedge ? "slower_than_p95" : "no_answer", now, out);
}

void on_running_timer(state& self, request& what, time_point now, actions& out)
{
    if (now >= what.deadline + answer_grace)
    {
        answer_late(self, what, now, out);
        return;
    }
    if (now >= what.hedge_at)
    {
        what.hedge_at = never;
        add_attempt(self, what, true, now, out);
    }
    if (now >= what.silent_at)
    {
        what.silent_at = never;
        add_attempt(self, what, false, now, out);
    }
    set_timer(self, what,
              std::min({what.hedge_at, what.silent_at,
                        what.deadline + answer_grace}));
}

void on_timer(state& self, request& what, time_point now, actions& out)
{
    switch (what.now_in)
    {
    case phase::claiming:
        // Nothing was sent, and a later grant is given back unused.
        reply_refusal(self, what, error_kind::store_unavailable,
                      "the claim was not granted in time", out);
        withdraw(self, what);
        break;
    case phase::withdrawn:
        break;
    case phase::running:
        on_running_timer(self, what, now, out);
        break;
    case phase::releasing:
        refuse(self, what, error_kind::outcome_unknown,
               "the claim was not removed in time", out);
        break;
    case phase::settling:
        settle(self, what, out);
        break;
    }
}

} // namespace

void on_result(state& self, work_result&& result, time_point now, actions& out)
{
    take_statuses(self, result, now);
    if (result.home.id != 0)
        note_answer(self.evidence, result.home.id);
    auto const found = self.requests.find(result.id);
    if (found == self.requests.end())
    {
        ++self.dropped_results;
        return;
    }
    request& what = found->second;
    auto const which =
        std::find_if(what.attempts.begin(), what.attempts.end(),
                     [&](attempt const& one)
                     { return one.number == result.attempt && one.open; });
    if (which == what.attempts.end())
    {
        ++self.dropped_results;
        return;
    }
    if (result.home.id == 0 && which->home != self.self)
        note_silence(self.evidence, which->home.id, hard_silence, now);
    close_attempt(self, what, *which);
    normalize(result);
    if (!is_good(result))
    {
        on_failure(self, what, std::move(result), now, out);
        return;
    }
    add_latency(service_of(self, what.service).latency, now - which->sent);
    answer_success(self, what, std::move(result), now, out);
}

time_point on_tick(state& self, time_point now, actions& out)
{
    while (!self.timers.empty() && self.timers.begin()->first <= now)
    {
        request_id const id = self.timers.begin()->second;
        on_timer(self, self.requests.at(id), now, out);
    }
    return self.timers.empty() ? now + std::chrono::seconds(1)
                               : self.timers.begin()->first;
}

} // namespace gooseberrycove::routing
