#include "attempts.hpp"
#include "authenticate.hpp"
#include "decisions.hpp"
#include "finish.hpp"

#include <xxhash.h>

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

refusal check(state& self, caller_request const& from, looked_up const& config,
              time_point now)
{
    using enum error_kind;
    if (self.requests.size() >= self.most_in_flight)
        return {overloaded, "too many requests in flight at this daemon"};
    if (self.stopping)
        return {draining, "shutting down"};
    if (!config.configured)
        return {no_configuration, "no configuration was read yet"};
    if (config.route && config.route->is_open)
        return config.route->service.empty()
                   ? refusal{no_server, "all parts of the split have weight 0"}
                   : refusal{};
    if (!config.route && !config.has_accounts)
        return {no_route, "no route matches"};
    refusal const account = check_account(self, from, config, now);
    if (account.kind != none)
        return account;
    if (!config.route)
        return {no_route, "no route matches"};
    if (!config.route->repeatable && from.idempotency_key.empty())
        return {bad_request, "this route needs an Idempotency-Key header"};
    return {};
}

request make_request(caller_request&& from, looked_up const& config)
{
    request made;
    made.from = std::move(from);
    if (config.account)
        made.account = config.account->name;
    if (!config.route)
        return made;
    made.service = config.route->service;
    made.route = config.route->name;
    made.priority_name = config.priority_name;
    made.priority = config.route->priority;
    made.repeatable = config.route->repeatable;
    made.claimed = !made.repeatable && !config.route->is_open;
    made.most_reached = config.route->attempts;
    duration allowed = config.route->timeout;
    if (made.from.time_allowed.count() > 0)
        allowed = std::min(allowed, made.from.time_allowed);
    made.deadline = made.from.received + allowed;
    return made;
}

std::uint64_t hash_of(request const& what)
{
    caller_request const& from = what.from;
    std::uint64_t hash = hash_name(from.method);
    for (std::string const* part :
         {&from.target, &from.content_type, &from.body})
        hash = XXH64(part->data(), part->size(), hash);
    return hash;
}

void ask_for_claim(state& self, request& what, time_point now, actions& out)
{
    std::vector<claims::claim_home> homes = claimable_homes(self, what, now);
    if (homes.empty())
    {
        refuse(self, what, error_kind::no_server,
               "no backend server is eligible", out);
        return;
    }
    what.now_in = phase::claiming;
    set_timer(self, what, what.deadline + answer_grace);
    out.claim_messages.push_back(claims::claim_request{
        what.from.id, what.account, what.from.idempotency_key, hash_of(what),
        std::move(homes), what.deadline});
}

/// Sets the times of the hedge and of the retry for a silent home.
void watch(state& self, request& what, time_point now)
{
    if (what.repeatable)
    {
        auto const usual =
            percentile_95(service_of(self, what.service).latency);
        what.hedge_at = usual ? now + *usual : never;
        what.silent_at = now + (what.deadline - now) / 2;
    }
    set_timer(self, what,
              std::min({what.hedge_at, what.silent_at,
                        what.deadline + answer_grace}));
}

void run(state& self, request& what, time_point now, actions& out)
{
    what.now_in = phase::running;
    if (start_attempt(self, what, event::request_routed, {}, now, out))
    {
        watch(self, what, now);
        return;
    }
    if (!what.claimed)
    {
        refuse(self, what, error_kind::no_server,
               "no backend server is eligible", out);
        return;
    }
    work_result none;
    none.id = what.from.id;
    none.kind = now >= what.deadline ? error_kind::deadline_unmet
                                     : error_kind::no_server;
    none.run_outcome = outcome::not_run;
    none.detail = "no home of the claim could be tried";
    keep_failure(what, std::move(none));
    answer_failure(self, what, now, out);
}

} // namespace

refusal check_account(state& self, caller_request const& from,
                      looked_up const& config, time_point now)
{
    if (!authenticated(from.credentials, config.account))
        return {error_kind::unauthenticated, "unknown account or wrong secret"};
    if (!take_token(self.rates, *config.account, now))
        return {error_kind::rate_limited,
                "the account's token bucket is empty"};
    return {};
}

void on_caller_request(state& self, caller_request&& from,
                       looked_up const& config, time_point now, actions& out)
{
    request_id const id = from.id;
    auto const earlier = self.requests.find(id);
    if (earlier != self.requests.end())
    {
        event_line line(event::request_refused);
        line.field("request", from.caller_id).field("reason", "id_in_use");
        out.log.push_back(std::move(line));
        // While the first caller waits, an answer for this id would reach it.
        if (earlier->second.answered)
            out.replies.push_back(
                {id,
                 from.caller_id,
                 error_kind::in_progress,
                 "an earlier request with this id is not settled",
                 {}});
        return;
    }
    refusal const reason = check(self, from, config, now);
    request made = make_request(std::move(from), config);
    made.repeat_share = self.local_repeats;
    if (reason.kind != error_kind::none)
    {
        refuse(self, made, reason.kind, reason.detail, out);
        return;
    }
    if (now >= made.deadline)
    {
        refuse(self, made, error_kind::deadline_unmet,
               "the deadline has passed", out);
        return;
    }
    service_state& service = service_of(self, made.service);
    service.floor_slots = config.floor_slots;
    service.floor_share = config.floor_share;
    service.homes_limit_repeats = config.homes_limit_repeats;
    count_request(service.budget, now);
    request& what = self.requests.emplace(id, std::move(made)).first->second;
    if (what.claimed)
        ask_for_claim(self, what, now, out);
    else
        run(self, what, now, out);
}

void on_claim_result(state& self, claims::claim_result&& result, time_point now,
                     actions& out)
{
    bool const granted = result.kind == error_kind::none && !result.is_replay;
    auto const found = self.requests.find(result.id);
    if (found == self.requests.end())
        return;
    request& what = found->second;
    if (what.now_in == phase::withdrawn)
    {
        what.claim = std::move(result);
        if (granted)
            return_claim(self, what, out);
        else
            erase_request(self, what.from.id);
        return;
    }
    if (what.now_in != phase::claiming)
        return;
    if (result.is_replay)
    {
        what.failure = std::move(result.recorded);
        answer_failure(self, what, now, out);
        return;
    }
    if (!granted)
    {
        refuse(self, what, result.kind, result.detail, out);
        return;
    }
    what.claim = std::move(result);
    run(self, what, now, out);
}

void on_claim_released(state& self, claims::claim_released const& released,
                       time_point, actions& out)
{
    auto const found = self.requests.find(released.id);
    if (found == self.requests.end() ||
        found->second.now_in != phase::releasing)
        return;
    request& what = found->second;
    if (released.confirmed)
    {
        error_kind const kind = kind_for(what.failure.kind, outcome::not_run);
        refuse(self, what, kind, what.failure.detail, out);
        return;
    }
    refuse(self, what, error_kind::outcome_unknown,
           "the claim could not be removed", out);
}

void on_caller_gone(state& self, caller_disconnected const& gone, time_point,
                    actions& out)
{
    auto const found = self.requests.find(gone.id);
    if (found == self.requests.end())
        return;
    request& what = found->second;
    // Claimed work runs on, so that its result is recorded for a later
    // request with the same key.
    if (what.claimed)
    {
        what.answered = true;
        if (what.now_in == phase::claiming)
            withdraw(self, what);
        return;
    }
    cancel_open_attempts(self, what, out);
    erase_request(self, gone.id);
}

void on_stop_waiting(state& self, actions& out)
{
    self.stopping = true;
    for (auto const& [id, what] : self.requests)
    {
        if (what.claimed || what.answered)
            continue;
        for (attempt const& which : what.attempts)
        {
            if (which.open)
                out.sends.push_back(
                    {which.home_address, which.home == self.self,
                     admission::cancel{id, which.number, self.self, true}});
        }
    }
}

void on_view(state& self, members::service_view const& view)
{
    service_state& service = service_of(self, view.service);
    service.candidates = view.candidates;
    std::erase_if(service.doubts,
                  [&](auto const& told)
                  {
                      return std::ranges::none_of(
                          view.candidates, [&](members::candidate const& who)
                          { return who.server == told.first; });
                  });
}

} // namespace gooseberrycove::routing
