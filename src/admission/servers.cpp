#include "decide.hpp"
#include "refuse.hpp"
#include "schedule.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

service_state& find_or_add_service(admission_state& state,
                                   std::string const& name)
{
    auto const [entry, added] = state.services.try_emplace(name);
    if (added)
    {
        entry->second.policy.service = name;
        auto const policy = state.policies.find(name);
        if (policy != state.policies.end())
            entry->second.policy = policy->second;
    }
    return entry->second;
}

void report_server_change(homed_server_state const& server,
                          service_policy const& policy, bool is_gone,
                          actions& out)
{
    out.server_changes.push_back({server.name, server.service, server.address,
                                  server.limit.declared_slots,
                                  warmup_of(server, policy), is_gone,
                                  policy.probe_path});
}

void remove_server(admission_state& state, std::string const& name,
                   time_point now, actions& out)
{
    auto const found = state.servers.find(name);
    if (found == state.servers.end() ||
        found->second.state == members::server_state::gone)
        return;
    homed_server_state& server = found->second;
    service_state& service = state.services.at(server.service);
    server.state = members::server_state::gone;
    report_server_change(server, service.policy, true, out);
    std::erase(service.servers, name);
    refuse_unservable(state, service, error_kind::no_server, "server_gone", now,
                      out);
    // The results of requests in flight still need this entry.
    if (server.in_flight == 0)
        state.servers.erase(found);
}

bool is_new_incarnation(homed_server_state const& server,
                        members::announcement const& details)
{
    return server.name.empty() || server.incarnation != details.incarnation ||
           server.state == members::server_state::gone;
}

void update_server(admission_state& state, members::announcement const& details,
                   time_point now, actions& out)
{
    service_state& service = find_or_add_service(state, details.service);
    homed_server_state& server = state.servers[details.server];
    bool const is_new = is_new_incarnation(server, details);
    bool const has_changed = is_new || server.address != details.address ||
                             server.limit.declared_slots != details.slots;
    if (is_new)
    {
        server.announced_at = now;
        server.incarnation = details.incarnation;
        server.warmup = details.warmup;
        server.status = {};
        server.limit = {};
        server.stated_limit = {};
        server.failure = {};
    }
    server.name = details.server;
    server.service = details.service;
    server.address = details.address;
    server.state = details.state;
    server.has_unreported_load = server.has_unreported_load || has_changed;
    set_declared(server.limit, details.slots);
    if (std::ranges::find(service.servers, details.server) ==
        service.servers.end())
        service.servers.push_back(details.server);
    if (has_changed)
        report_server_change(server, service.policy, false, out);
    if (details.state != members::server_state::serving)
        refuse_unservable(state, service, error_kind::draining,
                          "server_draining", now, out);
    start_queued(state, service, now, out);
}

} // namespace

void on_homed_server(admission_state& state,
                     members::homed_server const& change, time_point now,
                     actions& out)
{
    members::announcement const& details = change.details;
    auto const found = state.servers.find(details.server);
    bool const has_moved = found != state.servers.end() &&
                           found->second.service != details.service;
    if (change.is_gone || details.state == members::server_state::gone ||
        has_moved)
        remove_server(state, details.server, now, out);
    if (change.is_gone || details.state == members::server_state::gone)
        return;
    update_server(state, details, now, out);
}

void on_policy(admission_state& state, service_policy const& policy,
               time_point now, actions& out)
{
    state.policies[policy.service] = policy;
    auto const found = state.services.find(policy.service);
    if (found == state.services.end())
        return;
    service_state& service = found->second;
    bool const must_report = service.policy.warmup != policy.warmup ||
                             service.policy.probe_path != policy.probe_path;
    service.policy = policy;
    for (std::string const& name : service.servers)
    {
        if (must_report)
            report_server_change(state.servers.at(name), policy, false, out);
    }
    start_queued(state, service, now, out);
}

void on_status_update(admission_state& state,
                      health::status_update const& update, time_point now,
                      actions& out)
{
    auto const found = state.servers.find(update.status.server);
    if (found == state.servers.end() ||
        found->second.state == members::server_state::gone)
        return;
    homed_server_state& server = found->second;
    health_state const previous = server.status.health;
    server.status = update.status;
    service_state& service = state.services.at(server.service);
    if (server.status.health != previous &&
        server.status.health != health_state::healthy)
    {
        // Routing chooses a better server, or this one again under the floor
        // rule.
        entry_predicate const is_routed_to_server =
            [&](work_request const& request)
        { return request.server == server.name; };
        refuse_matching(state, service, is_routed_to_server,
                        error_kind::no_server, "server_unhealthy", now, out);
    }
    start_queued(state, service, now, out);
}

} // namespace gooseberrycove::admission
