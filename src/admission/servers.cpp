#include "decide.hpp"
#include "refuse.hpp"
#include "schedule.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

service_state& service_of(state& self, std::string const& name)
{
    auto const [place, added] = self.services.try_emplace(name);
    if (added)
    {
        place->second.policy.service = name;
        auto const policy = self.policies.find(name);
        if (policy != self.policies.end())
            place->second.policy = policy->second;
    }
    return place->second;
}

void report_known(homed_state const& server, service_policy const& policy,
                  bool gone, actions& out)
{
    out.known.push_back({server.name, server.service, server.address,
                         server.limit.declared, warmup_of(server, policy), gone,
                         policy.probe_path});
}

/// Gives queued work back that no server here may take any more.
void return_unservable(state& self, service_state& service, error_kind kind,
                       std::string_view reason, time_point now, actions& out)
{
    eligible const is_unservable = [&](work_request const& item)
    {
        return std::ranges::none_of(
            service.servers,
            [&](std::string const& name)
            {
                bool const chosen = item.server.empty() || item.server == name;
                return chosen &&
                       takes_work(self.servers.at(name), item.repeatable);
            });
    };
    refuse_matching(self, service, is_unservable, kind, reason, now, out);
}

void remove_server(state& self, std::string const& name, time_point now,
                   actions& out)
{
    auto const found = self.servers.find(name);
    if (found == self.servers.end() ||
        found->second.state == members::server_state::gone)
        return;
    homed_state& server = found->second;
    service_state& service = self.services.at(server.service);
    server.state = members::server_state::gone;
    report_known(server, service.policy, true, out);
    std::erase(service.servers, name);
    return_unservable(self, service, error_kind::no_server, "server_gone", now,
                      out);
    // Work in flight still reports to this entry.
    if (server.in_flight == 0)
        self.servers.erase(found);
}

bool starts_anew(homed_state const& server, members::announcement const& what)
{
    return server.name.empty() || server.incarnation != what.incarnation ||
           server.state == members::server_state::gone;
}

void update_server(state& self, members::announcement const& what,
                   time_point now, actions& out)
{
    service_state& service = service_of(self, what.service);
    homed_state& server = self.servers[what.server];
    bool const anew = starts_anew(server, what);
    bool const changed = anew || server.address != what.address ||
                         server.limit.declared != what.slots;
    if (anew)
    {
        server.announced = now;
        server.incarnation = what.incarnation;
        server.warmup = what.warmup;
        server.health = {};
        server.limit = {};
        server.failing = {};
    }
    server.name = what.server;
    server.service = what.service;
    server.address = what.address;
    server.state = what.state;
    server.load_changed = server.load_changed || changed;
    set_declared(server.limit, what.slots);
    if (std::ranges::find(service.servers, what.server) ==
        service.servers.end())
        service.servers.push_back(what.server);
    if (changed)
        report_known(server, service.policy, false, out);
    if (what.state != members::server_state::serving)
        return_unservable(self, service, error_kind::draining,
                          "server_draining", now, out);
    start_queued(self, service, now, out);
}

} // namespace

void on_homed_server(state& self, members::homed_server const& change,
                     time_point now, actions& out)
{
    members::announcement const& what = change.details;
    auto const found = self.servers.find(what.server);
    bool const moved =
        found != self.servers.end() && found->second.service != what.service;
    if (change.is_gone || what.state == members::server_state::gone || moved)
        remove_server(self, what.server, now, out);
    if (change.is_gone || what.state == members::server_state::gone)
        return;
    update_server(self, what, now, out);
}

void on_policy(state& self, service_policy const& policy, time_point now,
               actions& out)
{
    self.policies[policy.service] = policy;
    auto const found = self.services.find(policy.service);
    if (found == self.services.end())
        return;
    service_state& service = found->second;
    bool const known_changed = service.policy.warmup != policy.warmup ||
                               service.policy.probe_path != policy.probe_path;
    service.policy = policy;
    for (std::string const& name : service.servers)
    {
        if (known_changed)
            report_known(self.servers.at(name), policy, false, out);
    }
    start_queued(self, service, now, out);
}

void on_verdict(state& self, health::status_update const& verdict,
                time_point now, actions& out)
{
    auto const found = self.servers.find(verdict.status.server);
    if (found == self.servers.end() ||
        found->second.state == members::server_state::gone)
        return;
    homed_state& server = found->second;
    health_state const before = server.health.health;
    server.health = verdict.status;
    service_state& service = self.services.at(server.service);
    if (server.health.health != before &&
        server.health.health != health_state::healthy)
    {
        // Routing finds a better server, or comes back under the floor rule.
        eligible const chose_it = [&](work_request const& item)
        { return item.server == server.name; };
        refuse_matching(self, service, chose_it, error_kind::no_server,
                        "server_unhealthy", now, out);
    }
    start_queued(self, service, now, out);
}

} // namespace gooseberrycove::admission
