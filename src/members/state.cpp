#include "members/state.hpp"

#include "members/directory.hpp"
#include "members/gossip.hpp"
#include "members/lease.hpp"
#include "members/peers.hpp"
#include "members/probe.hpp"
#include "members/status.hpp"
#include "members/sync.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

constexpr int max_leave_messages = 16;

/// Whether the sender is an earlier incarnation of a daemon that restarted.
bool is_earlier_incarnation(membership_state const& state, daemon_ref sender)
{
    member const* const peer = find_peer(state, sender.id);
    return peer != nullptr &&
           peer->record.daemon.incarnation > sender.incarnation;
}

void merge_records(membership_state& state, packet const& received,
                   time_point now, actions& out)
{
    for (peer_record const& record : received.peers)
    {
        bool const is_own = record.daemon == received.sender;
        merge_peer(state, record,
                   is_own ? record_source::owner : record_source::gossip, now,
                   out);
    }
    confirm_alive(state, received.sender, now, out);
    for (server_record const& record : received.servers)
        apply_server(state, record, true, now, out);
}

} // namespace

membership_state make_state(peer_record const& own_record,
                            std::vector<std::string> seeds, std::uint64_t seed,
                            time_point now)
{
    membership_state state;
    state.own_record = own_record;
    state.own_record.state = peer_state::alive;
    state.seeds = std::move(seeds);
    state.random.seed(seed);
    // Differs between runs, so that an ack for a ping of an earlier run matches
    // no probe of this one. 32 bits keep the encoded number short.
    state.next_packet_number = 1 + (std::mt19937_64(seed)() >> 32);
    toggle_in_digest(state, state.own_record);
    auto const within = [&](std::uint64_t milliseconds)
    { return now + duration((state.random() % milliseconds) * 1000); };
    state.started = state.last_tick = now;
    state.next_ping = within(1000);
    state.next_dead_probe = state.next_recheck = now;
    state.next_sync = now + duration(3'000'000) + (within(5000) - now);
    state.next_join = now;
    state.next_rendezvous = within(state.seeds.empty() ? 200 : 2000);
    state.stored.next_cleanup = now + state.parameters.rendezvous_period;
    state.last_sweep = state.next_load_views = state.next_live_daemons = now;
    return state;
}

std::uint64_t unix_ms_at(membership_state const& state, time_point now)
{
    auto const elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - state.started);
    return state.unix_start_ms + static_cast<std::uint64_t>(elapsed.count());
}

void on_packet(membership_state& state, packet const& received, time_point now,
               actions& out)
{
    if (received.sender.id == state.own_record.daemon.id ||
        is_earlier_incarnation(state, received.sender))
        return;
    merge_records(state, received, now, out);
    apply_statuses(state, received.statuses, received.sender, now, out);
    out.peer_versions.push_back(
        {received.sender_address, received.config_version});
    switch (received.kind)
    {
    case packet_kind::ping:
        on_ping(state, received, now, out);
        break;
    case packet_kind::ack:
        on_ack(state, received, now, out);
        break;
    case packet_kind::ping_request:
        on_ping_request(state, received, now, out);
        break;
    case packet_kind::status:
        if (received.number != 0)
            handle_status_request(state, received, now, out);
        break;
    }
}

void on_active_config_version(membership_state& state,
                              active_config_version const& active,
                              time_point now, actions&)
{
    check_rendezvous_era(state, active.store_era, now);
    state.own_record.config_version =
        std::max(state.own_record.config_version, active.version);
}

void on_list_request(membership_state& state, list_request const& request,
                     time_point, actions& out)
{
    if (!request.deliver)
        return;
    listing result;
    result.peers.push_back(state.own_record);
    for (member const& peer : state.peers)
        result.peers.push_back(peer.record);
    for (std::uint32_t id = 0; id < state.servers.entries.size(); ++id)
    {
        if (state.servers.entries[id].is_used &&
            state.servers.entries[id].state != server_state::gone)
            result.servers.push_back(make_record(state, id));
    }
    for (homed_server_state const& homed : state.homed_servers)
        result.statuses.push_back(homed.status);
    out.replies.emplace_back(
        [deliver = request.deliver, result = std::move(result)]() mutable
        { deliver(std::move(result)); });
}

void on_leave(membership_state& state, leave const&, time_point, actions& out)
{
    if (state.own_record.state == peer_state::leaving)
        return;
    toggle_in_digest(state, state.own_record);
    state.own_record.state = peer_state::leaving;
    state.needs_sweep = true;
    push_updates(state, max_leave_messages, out);
    out.log.push_back(
        event_line(event::peer_left).field("peer", state.own_record.name));
}

} // namespace gooseberrycove::members
