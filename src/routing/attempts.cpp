#include "attempts.hpp"

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

std::vector<daemon_ref> tried_homes(request const& what)
{
    std::vector<daemon_ref> homes;
    for (attempt const& tried : what.attempts)
        homes.push_back(tried.home);
    return homes;
}

struct target
{
    choice chosen;
    std::string address;
};

/// Whether the newest attempt follows one that reached a server or still may.
bool is_repeat(request const& what)
{
    return open_attempts(what) + what.reached > 1;
}

/// The next home that the claim names and that still has a usable server.
target next_claimed(service_state const& service, request const& what,
                    std::span<standing const> standings)
{
    std::vector<daemon_ref> const tried = tried_homes(what);
    for (claims::claim_home const& home : what.claim.homes)
    {
        if (std::find(tried.begin(), tried.end(), home.daemon) != tried.end())
            continue;
        members::candidate const* best = nullptr;
        standing best_standing = standing::ejected;
        for (std::size_t i = 0; i < standings.size(); ++i)
        {
            members::candidate const& who = service.candidates[i];
            if (who.home != home.daemon || standings[i] >= best_standing ||
                who.health == health_state::probation)
                continue;
            best = &who;
            best_standing = standings[i];
        }
        if (best)
            return {{best, "named_in_claim", standings.size() - 1},
                    home.address};
    }
    return {};
}

target next_target(state& self, service_state const& service,
                   request const& what, assessment const& found)
{
    if (what.claimed)
        return next_claimed(service, what, found.standings);
    std::vector<daemon_ref> const tried = tried_homes(what);
    choice const chosen =
        choose({service.candidates, found.standings, service.outstanding, tried,
                self.data_centre, what.repeatable,
                tried.empty() && what.most_reached > 1, found.doubts},
               self.random);
    return {chosen, chosen.who ? chosen.who->home_address : std::string()};
}

work_request make_work(state const& self, request const& what,
                       attempt const& which)
{
    work_request made;
    made.id = what.from.id;
    made.caller_id = what.from.caller_id;
    made.attempt = which.number;
    made.account = what.account;
    made.service = what.service;
    made.route = what.route;
    made.priority = what.priority;
    made.repeatable = what.repeatable;
    made.method = what.from.method;
    made.target = what.from.target;
    made.content_type = what.from.content_type;
    made.headers = what.from.headers;
    made.body = what.from.body;
    made.idempotency_key = what.from.idempotency_key;
    made.traceparent = what.from.traceparent;
    made.caller_service = self.caller_service;
    made.deadline = what.deadline;
    made.received = what.from.received;
    made.claim = what.claim.claim;
    made.server = which.server;
    made.home = which.home;
    made.origin = self.self;
    made.origin_address = self.address;
    return made;
}

event_line routed_line(request const& what, event why, std::string_view reason,
                       target const& to)
{
    event_line line(why);
    line.field("request", what.from.caller_id)
        .field("service", what.service)
        .field("priority", what.priority_name)
        .field("server", to.chosen.who->server)
        .field("home", to.address)
        .field("attempt", static_cast<unsigned>(what.attempts.size()))
        .field("reason", reason.empty() ? to.chosen.reason : reason)
        .field("doubt", to.chosen.doubt)
        .field("passed_over", static_cast<std::uint64_t>(to.chosen.passed_over))
        .routine(why == event::request_routed);
    return line;
}

} // namespace

service_state& service_of(state& self, std::string_view name)
{
    auto const found = self.services.find(name);
    if (found != self.services.end())
        return found->second;
    return self.services[std::string(name)];
}

assessment assess(service_state const& service, home_evidence const& evidence,
                  time_point now)
{
    std::uint32_t const floor =
        floor_of(service.candidates, service.floor_slots, service.floor_share);
    assessment found = assess(service.candidates, floor, evidence, now);
    found.doubts =
        apply_doubts(service.candidates, service.doubts, now, found.standings);
    return found;
}

/// Whether another home than the one of the last attempt is left to try.
bool has_other_home(service_state const& service, request const& what,
                    assessment const& found)
{
    if (what.attempts.size() >= homes_allowed(what))
        return false;
    std::vector<daemon_ref> const tried = tried_homes(what);
    auto const untried = [&](daemon_ref const& home)
    { return std::find(tried.begin(), tried.end(), home) == tried.end(); };
    if (what.claimed)
        return std::any_of(what.claim.homes.begin(), what.claim.homes.end(),
                           [&](claims::claim_home const& home)
                           { return untried(home.daemon); });
    for (std::size_t i = 0; i < found.standings.size(); ++i)
    {
        if (found.standings[i] == standing::healthy &&
            untried(service.candidates[i].home))
            return true;
    }
    return false;
}

bool start_attempt(state& self, request& what, event why,
                   std::string_view reason, time_point now, actions& out)
{
    if (what.attempts.size() >= homes_allowed(what) ||
        what.reached >= what.most_reached || now >= what.deadline)
        return false;
    service_state& service = service_of(self, what.service);
    assessment const found = assess(service, self.evidence, now);
    target const to = next_target(self, service, what, found);
    if (!to.chosen.who)
        return false;
    members::candidate const& who = *to.chosen.who;
    what.attempts.push_back(
        {static_cast<std::uint32_t>(what.attempts.size() + 1), who.server,
         who.home, to.address, now, true});
    ++service.outstanding[who.server];
    out.log.push_back(routed_line(what, why, reason, to));
    work_request made = make_work(self, what, what.attempts.back());
    made.accepted_failure_probability = to.chosen.doubt;
    made.is_retry = is_repeat(what);
    made.retry_weight = made.is_retry ? 1 : what.repeat_share;
    made.retry_limit_servers = sharing_servers(found);
    made.has_other_homes = has_other_home(service, what, found);
    out.sends.push_back({to.address, who.home == self.self, std::move(made)});
    return true;
}

std::vector<claims::claim_home>
claimable_homes(state& self, request const& what, time_point now)
{
    service_state const& service = service_of(self, what.service);
    assessment const found = assess(service, self.evidence, now);
    std::vector<claims::claim_home> homes;
    std::vector<daemon_ref> named;
    while (homes.size() < max_homes)
    {
        choice const next =
            choose({service.candidates, found.standings, service.outstanding,
                    named, self.data_centre, false, false, found.doubts},
                   self.random);
        if (!next.who)
            break;
        named.push_back(next.who->home);
        homes.push_back({next.who->home, next.who->home_address});
    }
    return homes;
}

std::size_t open_attempts(request const& what)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(what.attempts, &attempt::open));
}

bool has_open_attempt(request const& what)
{
    return open_attempts(what) > 0;
}

void close_attempt(state& self, request& what, attempt& which)
{
    if (!which.open)
        return;
    which.open = false;
    service_state& service = service_of(self, what.service);
    auto const own = service.outstanding.find(which.server);
    if (own == service.outstanding.end())
        return;
    if (--own->second == 0)
        service.outstanding.erase(own);
}

void cancel_open_attempts(state& self, request& what, actions& out)
{
    for (attempt& which : what.attempts)
    {
        if (!which.open)
            continue;
        out.sends.push_back(
            {which.home_address, which.home == self.self,
             admission::cancel{what.from.id, which.number, self.self}});
        close_attempt(self, what, which);
    }
}

void set_timer(state& self, request& what, time_point at)
{
    if (what.timer)
        self.timers.erase(*what.timer);
    what.timer.reset();
    if (at != never)
        what.timer = self.timers.emplace(at, what.from.id);
}

void erase_request(state& self, request_id id)
{
    auto const found = self.requests.find(id);
    if (found == self.requests.end())
        return;
    for (attempt& which : found->second.attempts)
        close_attempt(self, found->second, which);
    set_timer(self, found->second, never);
    self.requests.erase(found);
}

} // namespace gooseberrycove::routing
