#include "members/state.hpp"

#include "members/directory.hpp"
#include "members/gossip.hpp"
#include "members/lease.hpp"
#include "members/peers.hpp"
#include "members/probe.hpp"
#include "members/status.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

constexpr int leave_messages = 16;

/// Whether the sender is an earlier run of a daemon that was started again.
bool is_past_run(state const& s, daemon_ref sender)
{
    member const* const known = find_peer(s, sender.id);
    return known != nullptr &&
           known->record.daemon.incarnation > sender.incarnation;
}

void merge_records(state& s, packet const& what, time_point now, actions& out)
{
    for (peer_record const& record : what.peers)
    {
        bool const own = record.daemon == what.sender;
        merge_peer(s, record, own ? origin::itself : origin::gossip, now, out);
    }
    confirm_alive(s, what.sender, now, out);
    for (server_record const& record : what.servers)
        apply_server(s, record, true, now, out);
}

} // namespace

state make_state(peer_record const& self, std::vector<std::string> seeds,
                 std::uint64_t seed, time_point now)
{
    state s;
    s.self = self;
    s.self.state = peer_state::alive;
    s.seeds = std::move(seeds);
    s.random.seed(seed);
    toggle_listed(s, s.self);
    auto const within = [&](std::uint64_t milliseconds)
    { return now + duration((s.random() % milliseconds) * 1000); };
    s.started = s.last_tick = now;
    s.next_ping = within(1000);
    s.next_dead_probe = s.next_recheck = now;
    s.next_sync = now + duration(3'000'000) + (within(5000) - now);
    s.next_join = now;
    s.next_rendezvous = within(s.seeds.empty() ? 200 : 2000);
    s.last_sweep = s.next_load_views = s.next_live = now;
    return s;
}

void on_packet(state& s, packet const& what, time_point now, actions& out)
{
    if (what.sender.id == s.self.daemon.id || is_past_run(s, what.sender))
        return;
    merge_records(s, what, now, out);
    apply_statuses(s, what.statuses, what.sender, now, out);
    out.versions.push_back({what.sender_address, what.config_version});
    switch (what.kind)
    {
    case packet_kind::ping:
        on_ping(s, what, now, out);
        break;
    case packet_kind::ack:
        on_ack(s, what, now, out);
        break;
    case packet_kind::ping_request:
        on_ping_request(s, what, now, out);
        break;
    case packet_kind::status:
        if (what.number != 0)
            answer_statuses(s, what, now, out);
        break;
    }
}

void on_own_version(state& s, active_config_version const& what, time_point,
                    actions&)
{
    s.self.config_version = std::max(s.self.config_version, what.version);
}

void on_list_request(state& s, list_request const& what, time_point,
                     actions& out)
{
    if (!what.deliver)
        return;
    listing list;
    list.peers.push_back(s.self);
    for (member const& who : s.peers)
        list.peers.push_back(who.record);
    for (std::uint32_t id = 0; id < s.servers.entries.size(); ++id)
    {
        if (s.servers.entries[id].used &&
            s.servers.entries[id].state != server_state::gone)
            list.servers.push_back(make_record(s, id));
    }
    for (homed const& here : s.homes)
        list.statuses.push_back(here.status);
    out.replies.emplace_back(
        [deliver = what.deliver, list = std::move(list)]() mutable
        { deliver(std::move(list)); });
}

void on_leave(state& s, leave const&, time_point, actions& out)
{
    if (s.self.state == peer_state::leaving)
        return;
    toggle_listed(s, s.self);
    s.self.state = peer_state::leaving;
    s.sweep_wanted = true;
    push_news(s, leave_messages, out);
    out.log.push_back(event_line(event::peer_left).field("peer", s.self.name));
}

} // namespace gooseberrycove::members
