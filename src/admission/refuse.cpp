#include "refuse.hpp"

#include "schedule.hpp"

namespace gooseberrycove::admission
{

decision make_decision(state const& self, event what, work_request const& of,
                       std::string_view server, std::string_view reason)
{
    decision made;
    made.what = what;
    made.request = of.caller_id;
    made.service = of.service;
    made.priority = of.priority;
    made.server = server;
    made.reason = reason;
    made.known_doubt = of.accepted_failure_probability;
    made.received = of.received;
    auto const found = self.servers.find(made.server);
    if (found == self.servers.end())
        return made;
    made.in_flight = found->second.in_flight;
    made.queued = found->second.queued;
    made.doubt = found->second.failing.probability;
    return made;
}

namespace
{

server_status status_of(homed_state const& server)
{
    server_status status = server.health;
    status.server = server.name;
    status.service = server.service;
    status.slots = static_cast<std::uint32_t>(server.limit.limit);
    status.in_flight = server.in_flight;
    status.queued = server.queued;
    status.failure_probability = server.failing.probability;
    return status;
}

} // namespace

work_result make_result(state const& self, work_request const& what,
                        error_kind kind, outcome result)
{
    work_result made;
    made.id = what.id;
    made.attempt = what.attempt;
    made.kind = kind;
    made.run_outcome = result;
    made.server = what.server;
    made.home = self.self;
    auto const service = self.services.find(what.service);
    if (service == self.services.end())
        return made;
    for (std::string const& name : service->second.servers)
        made.statuses.push_back(status_of(self.servers.at(name)));
    return made;
}

void refuse(state const& self, work_request const& what, error_kind kind,
            std::string_view reason, actions& out)
{
    outcome const ended = kind == error_kind::cancelled
                              ? outcome::not_run
                              : error_response_for(kind).run_outcome;
    work_result result = make_result(self, what, kind, ended);
    result.status = error_response_for(kind).status;
    result.detail = reason;
    out.decisions.push_back(
        make_decision(self, event::work_refused, what, what.server, reason));
    out.answers.push_back(
        {what.origin, what.origin_address, std::move(result)});
}

void count_queued(state& self, std::string const& server, int change)
{
    auto const found = self.servers.find(server);
    if (found == self.servers.end())
        return;
    found->second.queued += static_cast<std::uint32_t>(change);
    found->second.load_changed = true;
}

void refuse_queued(state& self, service_state& service, work_request&& taken,
                   error_kind kind, std::string_view reason, time_point now,
                   actions& out)
{
    --service.queued;
    count_queued(self, taken.server, -1);
    refuse(self, taken, kind, reason, out);
    // A fenced claim is settled already.
    if (!taken.claim.id.empty() && kind != error_kind::outcome_unknown)
        claim_ended(self.claims, taken.claim, out.answers.back().result, now);
}

void refuse_matching(state& self, service_state& service,
                     eligible const& matches, error_kind kind,
                     std::string_view reason, time_point now, actions& out)
{
    for (priority_state& priority : service.priorities)
    {
        for (std::size_t i = priority.queue.entries.size(); i > 0; --i)
        {
            if (!matches(priority.queue.entries[i - 1]))
                continue;
            refuse_queued(self, service, remove_at(priority.queue, i - 1), kind,
                          reason, now, out);
        }
    }
}

} // namespace gooseberrycove::admission
