#include "members/status.hpp"

#include "members/directory.hpp"
#include "members/gossip.hpp"
#include "members/lease.hpp"
#include "members/peers.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

/// Daemons that may wait for statuses, and for how long: a request that
/// health did not answer by then is made again by the asker.
constexpr std::size_t max_askers = 256;
constexpr duration asker_expiry{2'000'000};

/// Health reports at its own ticks, so a period may end a little early.
constexpr duration verdict_jitter{50'000};

/// A status that one daemon is to get.
struct delivery
{
    daemon_ref home;
    std::size_t server = 0;
};

std::uint16_t saturate(std::uint32_t value)
{
    return static_cast<std::uint16_t>(std::min<std::uint32_t>(value, 0xFFFF));
}

/// Homes of a service other than this daemon.
std::vector<daemon_ref> homes_of(state const& s, std::string_view service)
{
    std::vector<daemon_ref> homes;
    std::uint32_t const number = s.servers.services.find(service);
    if (number == no_name || number >= s.servers.by_service.size())
        return homes;
    for (std::uint32_t const id : s.servers.by_service[number])
    {
        server_entry const& entry = s.servers.entries[id];
        if (entry.home_live && entry.state != server_state::gone &&
            entry.home != s.self.daemon)
            homes.push_back(entry.home);
    }
    std::ranges::sort(homes, {}, &daemon_ref::id);
    homes.erase(std::unique(homes.begin(), homes.end()), homes.end());
    return homes;
}

/// Sends deliveries sorted by home, as few packets as the limit allows.
/// Returns the bytes sent.
std::size_t send_deliveries(state& s, std::span<delivery const> list,
                            std::uint64_t number, actions& out)
{
    std::size_t total = 0;
    for (std::size_t at = 0; at < list.size();)
    {
        daemon_ref const home = list[at].home;
        member const* const receiver = find_peer(s, home.id);
        packet what = make_packet(s, packet_kind::status, number);
        what.peers.clear();
        std::size_t size = packet_overhead;
        for (; at < list.size() && list[at].home == home; ++at)
        {
            server_status const& status = s.homes[list[at].server].status;
            size += estimate_size(status);
            if (size > s.limits.packet_bytes && !what.statuses.empty())
                break;
            what.statuses.push_back(status);
        }
        total += std::min(size, s.limits.packet_bytes);
        if (receiver != nullptr)
            out.to_peers.push_back({receiver->record.address, std::move(what)});
    }
    return total;
}

std::vector<delivery> deliveries_of(state& s, std::size_t server)
{
    homed& here = s.homes[server];
    here.status.sequence = ++s.status_sequence;
    std::vector<delivery> list;
    for (daemon_ref const home : homes_of(s, here.what.service))
        list.push_back({home, server});
    return list;
}

void refresh_entry(state& s, homed const& here)
{
    server_entry* const entry = find_entry(s, here.what.server);
    if (entry == nullptr || entry->home != s.self.daemon)
        return;
    entry->in_flight = saturate(here.status.in_flight);
    entry->queued = saturate(here.status.queued);
    entry->score = static_cast<float>(here.status.score);
    mark_loaded(s, entry->service);
}

void apply_status(state& s, server_status const& status, daemon_ref home,
                  time_point now, actions& out)
{
    server_entry* const entry = find_entry(s, status.server);
    if (entry == nullptr || entry->home != home ||
        entry->state == server_state::gone ||
        status.sequence <= entry->status_sequence)
        return;
    entry->status_sequence = status.sequence;
    entry->in_flight = saturate(status.in_flight);
    entry->queued = saturate(status.queued);
    entry->score = static_cast<float>(status.score);
    if (entry->health != status.health)
        mark_changed(s, entry->service);
    entry->health = status.health;
    mark_loaded(s, entry->service);
    bool const shared =
        std::ranges::any_of(s.homes, [&](homed const& here)
                            { return here.what.service == status.service; });
    if (shared)
        out.siblings.push_back({status, home, now});
}

} // namespace

void apply_statuses(state& s, std::span<server_status const> statuses,
                    daemon_ref home, time_point now, actions& out)
{
    for (server_status const& status : statuses)
        apply_status(s, status, home, now, out);
}

void answer_statuses(state& s, packet const& what, time_point now, actions& out)
{
    std::erase_if(s.askers, [now](status_asker const& item)
                  { return now - item.since > asker_expiry; });
    std::vector<std::string> asked;
    for (server_status const& status : what.statuses)
        asked.push_back(status.service);
    std::ranges::sort(asked);
    asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
    for (std::string const& service : asked)
    {
        auto const homed_here =
            std::ranges::count_if(s.homes, [&](homed const& here)
                                  { return here.what.service == service; });
        if (homed_here == 0 || s.askers.size() >= max_askers)
            continue;
        s.askers.push_back(
            {what.sender, service, static_cast<std::size_t>(homed_here), now});
        out.report_requests.push_back({service});
    }
}

void run_statuses(state& s, time_point now, actions& out)
{
    std::vector<delivery> list;
    for (std::size_t server = 0; server < s.homes.size(); ++server)
    {
        homed& here = s.homes[server];
        if (!here.due)
            continue;
        here.due = false;
        std::vector<delivery> const more = deliveries_of(s, server);
        list.insert(list.end(), more.begin(), more.end());
        // All servers homed here share the budget.
        double const bytes = static_cast<double>(
            more.size() * (packet_overhead + estimate_size(here.status)));
        duration const needed(static_cast<duration::rep>(
            bytes * static_cast<double>(s.homes.size()) /
            s.limits.status_budget * 1'000'000));
        here.next_status =
            now + std::max(s.limits.status_period - verdict_jitter, needed);
    }
    std::ranges::stable_sort(list, {},
                             [](delivery const& item) { return item.home.id; });
    send_deliveries(s, list, 0, out);
}

namespace
{

/// Sends a status that was asked for to all that wait for it.
void send_asked(state& s, homed& here, actions& out)
{
    std::size_t const server = static_cast<std::size_t>(&here - s.homes.data());
    here.status.sequence = ++s.status_sequence;
    for (status_asker& item : s.askers)
    {
        if (item.service != here.what.service || item.left == 0)
            continue;
        --item.left;
        delivery const one{item.daemon, server};
        send_deliveries(s, {&one, 1}, 0, out);
    }
    std::erase_if(s.askers,
                  [](status_asker const& item) { return item.left == 0; });
}

} // namespace

void request_statuses(state& s, std::string_view service, actions& out)
{
    for (std::size_t server = 0; server < s.homes.size(); ++server)
    {
        if (s.homes[server].what.service != service)
            continue;
        send_deliveries(s, deliveries_of(s, server), s.next_number++, out);
        return;
    }
}

void on_verdict(state& s, health::status_update const& what, time_point now,
                actions& out)
{
    homed* const here = find_homed(s, what.status.server);
    if (here == nullptr)
        return;
    server_status status = what.status;
    status.service = here->what.service;
    status.slots = here->what.slots;
    status.in_flight = here->status.in_flight;
    status.queued = here->status.queued;
    bool const changed = status.health != here->status.health;
    here->status = std::move(status);
    // Sent as long as it is fresh: siblings compare it with work of the same
    // time. A status that is not due is dropped, the next verdict follows.
    here->due = here->due || now >= here->next_status;
    refresh_entry(s, *here);
    if (changed)
        publish(s, *here, now);
    if (what.requests_reports)
        request_statuses(s, here->what.service, out);
    if (what.is_reply)
        send_asked(s, *here, out);
}

void on_server_load(state& s, server_load const& what, time_point, actions&)
{
    homed* const here = find_homed(s, what.server);
    if (here == nullptr)
        return;
    here->status.in_flight = what.in_flight;
    here->status.queued = what.queued;
    refresh_entry(s, *here);
}

} // namespace gooseberrycove::members
