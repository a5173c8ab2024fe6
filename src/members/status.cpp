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

/// Limits on the requests for statuses that await a reply from health. The
/// requester repeats a request that expired.
constexpr std::size_t max_status_requesters = 256;
constexpr duration status_request_expiry{2'000'000};

/// Health sends updates at its own ticks, so the next one may come this much
/// before the end of a period.
constexpr duration status_update_jitter{50'000};

/// The status of one homed server, to be sent to one daemon.
struct status_delivery
{
    daemon_ref receiver;
    std::size_t server_index = 0;
};

std::uint16_t saturate(std::uint32_t value)
{
    return static_cast<std::uint16_t>(std::min<std::uint32_t>(value, 0xFFFF));
}

/// Homes of the service's servers, without this daemon.
std::vector<daemon_ref> other_homes(membership_state const& state,
                                    std::string_view service)
{
    std::vector<daemon_ref> homes;
    std::uint32_t const service_id = state.servers.service_names.find(service);
    if (service_id == no_name || service_id >= state.servers.by_service.size())
        return homes;
    for (std::uint32_t const id : state.servers.by_service[service_id])
    {
        server_entry const& entry = state.servers.entries[id];
        if (entry.is_home_live && entry.state != server_state::gone &&
            entry.home != state.own_record.daemon)
            homes.push_back(entry.home);
    }
    std::ranges::sort(homes, {}, &daemon_ref::id);
    homes.erase(std::unique(homes.begin(), homes.end()), homes.end());
    return homes;
}

/// Sends deliveries, sorted by receiver, in as few packets as the size limit
/// allows. Returns the estimated bytes.
std::size_t send_deliveries(membership_state& state,
                            std::span<status_delivery const> deliveries,
                            std::uint64_t number, actions& out)
{
    std::size_t total_bytes = 0;
    for (std::size_t index = 0; index < deliveries.size();)
    {
        daemon_ref const receiver = deliveries[index].receiver;
        member const* const peer = find_peer(state, receiver.id);
        packet content = make_packet(state, packet_kind::status, number);
        content.peers.clear();
        std::size_t size = packet_overhead_bytes;
        for (; index < deliveries.size() &&
               deliveries[index].receiver == receiver;
             ++index)
        {
            server_status const& status =
                state.homed_servers[deliveries[index].server_index].status;
            size += estimate_size(status);
            if (size > state.parameters.max_packet_bytes &&
                !content.statuses.empty())
                break;
            content.statuses.push_back(status);
        }
        total_bytes += std::min(size, state.parameters.max_packet_bytes);
        if (peer != nullptr)
            out.to_peers.push_back({peer->record.address, std::move(content)});
    }
    return total_bytes;
}

std::vector<status_delivery> make_deliveries(membership_state& state,
                                             std::size_t server_index)
{
    homed_server_state& homed = state.homed_servers[server_index];
    homed.status.sequence = ++state.status_sequence;
    std::vector<status_delivery> deliveries;
    for (daemon_ref const home : other_homes(state, homed.details.service))
        deliveries.push_back({home, server_index});
    return deliveries;
}

void refresh_own_entry(membership_state& state, homed_server_state const& homed)
{
    server_entry* const entry = find_entry(state, homed.details.server);
    if (entry == nullptr || entry->home != state.own_record.daemon)
        return;
    entry->in_flight = saturate(homed.status.in_flight);
    entry->queued = saturate(homed.status.queued);
    entry->score = static_cast<float>(homed.status.score);
    mark_load_changed(state, entry->service_id);
}

void apply_status(membership_state& state, server_status const& status,
                  daemon_ref home, time_point now, actions& out)
{
    server_entry* const entry = find_entry(state, status.server);
    if (entry == nullptr || entry->home != home ||
        entry->state == server_state::gone ||
        status.sequence <= entry->status_sequence)
        return;
    entry->status_sequence = status.sequence;
    entry->load_at = now;
    entry->in_flight = saturate(status.in_flight);
    entry->queued = saturate(status.queued);
    entry->score = static_cast<float>(status.score);
    if (entry->health != status.health)
        mark_changed(state, entry->service_id);
    entry->health = status.health;
    mark_load_changed(state, entry->service_id);
    bool const has_homed_sibling = std::ranges::any_of(
        state.homed_servers, [&](homed_server_state const& homed)
        { return homed.details.service == status.service; });
    if (has_homed_sibling)
        out.sibling_reports.push_back({status, home, now});
}

} // namespace

void apply_statuses(membership_state& state,
                    std::span<server_status const> statuses, daemon_ref home,
                    time_point now, actions& out)
{
    for (server_status const& status : statuses)
        apply_status(state, status, home, now, out);
}

void handle_status_request(membership_state& state, packet const& request,
                           time_point now, actions& out)
{
    std::erase_if(
        state.status_requesters, [now](status_requester const& requester)
        { return now - requester.requested_at > status_request_expiry; });
    std::vector<std::string> services;
    for (server_status const& status : request.statuses)
        services.push_back(status.service);
    std::ranges::sort(services);
    services.erase(std::unique(services.begin(), services.end()),
                   services.end());
    for (std::string const& service : services)
    {
        auto const homed_count = std::ranges::count_if(
            state.homed_servers, [&](homed_server_state const& homed)
            { return homed.details.service == service; });
        if (homed_count == 0 ||
            state.status_requesters.size() >= max_status_requesters)
            continue;
        state.status_requesters.push_back(
            {request.sender, service, static_cast<std::size_t>(homed_count),
             now});
        out.report_requests.push_back({service});
    }
}

void send_due_statuses(membership_state& state, time_point now, actions& out)
{
    std::vector<status_delivery> deliveries;
    for (std::size_t server_index = 0;
         server_index < state.homed_servers.size(); ++server_index)
    {
        homed_server_state& homed = state.homed_servers[server_index];
        if (!homed.is_status_due)
            continue;
        homed.is_status_due = false;
        std::vector<status_delivery> const added =
            make_deliveries(state, server_index);
        deliveries.insert(deliveries.end(), added.begin(), added.end());
        // All servers homed here share the budget of bytes per second.
        double const bytes =
            static_cast<double>(added.size() * (packet_overhead_bytes +
                                                estimate_size(homed.status)));
        duration const budget_period(static_cast<duration::rep>(
            bytes * static_cast<double>(state.homed_servers.size()) /
            state.parameters.status_budget_bytes_per_s * 1'000'000));
        homed.next_status = now + std::max(state.parameters.status_period -
                                               status_update_jitter,
                                           budget_period);
    }
    std::ranges::stable_sort(deliveries, {},
                             [](status_delivery const& delivery)
                             { return delivery.receiver.id; });
    send_deliveries(state, deliveries, 0, out);
}

namespace
{

/// Sends the status of a server to every daemon that requested the statuses of
/// its service.
void send_requested_status(membership_state& state, homed_server_state& homed,
                           actions& out)
{
    std::size_t const server_index =
        static_cast<std::size_t>(&homed - state.homed_servers.data());
    homed.status.sequence = ++state.status_sequence;
    for (status_requester& requester : state.status_requesters)
    {
        if (requester.service != homed.details.service ||
            requester.remaining_statuses == 0)
            continue;
        --requester.remaining_statuses;
        status_delivery const reply{requester.daemon, server_index};
        send_deliveries(state, {&reply, 1}, 0, out);
    }
    std::erase_if(state.status_requesters, [](status_requester const& requester)
                  { return requester.remaining_statuses == 0; });
}

} // namespace

void request_statuses(membership_state& state, std::string_view service,
                      actions& out)
{
    for (std::size_t server_index = 0;
         server_index < state.homed_servers.size(); ++server_index)
    {
        if (state.homed_servers[server_index].details.service != service)
            continue;
        send_deliveries(state, make_deliveries(state, server_index),
                        state.next_packet_number++, out);
        return;
    }
}

void on_status_update(membership_state& state,
                      health::status_update const& update, time_point now,
                      actions& out)
{
    homed_server_state* const homed =
        find_homed_server(state, update.status.server);
    if (homed == nullptr)
        return;
    server_status status = update.status;
    status.service = homed->details.service;
    status.slots = homed->details.slots;
    status.in_flight = homed->status.in_flight;
    status.queued = homed->status.queued;
    bool const has_health_changed = status.health != homed->status.health;
    homed->status = std::move(status);
    // Due at once, because the other homes compare the status with work of the
    // same time. An update that arrives before the next send time is skipped; a
    // later one is sent instead.
    homed->is_status_due = homed->is_status_due || now >= homed->next_status;
    refresh_own_entry(state, *homed);
    if (has_health_changed)
        publish_entry(state, *homed, now);
    if (update.requests_reports)
        request_statuses(state, homed->details.service, out);
    if (update.is_reply)
        send_requested_status(state, *homed, out);
}

void on_server_load(membership_state& state, server_load const& load,
                    time_point now, actions& out)
{
    homed_server_state* const homed = find_homed_server(state, load.server);
    if (homed == nullptr)
        return;
    homed->status.in_flight = load.in_flight;
    homed->status.queued = load.queued;
    refresh_own_entry(state, *homed);
    if (load.is_leaving && load.incarnation == homed->details.incarnation)
        set_leaving(state, *homed, now, out);
}

} // namespace gooseberrycove::members
