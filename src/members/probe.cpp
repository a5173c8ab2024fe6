#include "members/probe.hpp"

#include "members/gossip.hpp"
#include "members/peers.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

constexpr int indirect_probe_count = 3;
constexpr int update_receivers = 2;

void start_probe(membership_state& state, member const& peer, time_point now,
                 actions& out)
{
    std::uint64_t const number = state.next_packet_number++;
    state.probes.push_back(
        {number, peer.record.daemon, peer.record.address, now, false});
    send_packet(state, make_packet(state, packet_kind::ping, number),
                peer.record.address, peer.record.daemon.id, out);
}

/// Returns the next peer of a random order over all peers, which bounds the
/// time between two probes of one peer. Returns nullptr without live peers.
member const* next_target(membership_state& state)
{
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        while (!state.probe_order.empty())
        {
            member const* const peer =
                find_peer(state, state.probe_order.back());
            state.probe_order.pop_back();
            if (peer != nullptr && is_live(peer->record))
                return peer;
        }
        for (member const& peer : state.peers)
            state.probe_order.push_back(peer.record.daemon.id);
        std::ranges::shuffle(state.probe_order, state.random);
    }
    return nullptr;
}

void send_indirect_probes(membership_state& state, probe& pending, actions& out)
{
    pending.has_sent_indirect = true;
    member* const target = find_peer(state, pending.target.id);
    if (target == nullptr || target->record.state == peer_state::dead)
        return;
    if (target->unanswered_probes < 2 && ++target->unanswered_probes == 2)
        state.needs_sweep = true;
    if (std::ranges::find(state.peers_to_recheck, pending.target.id) ==
        state.peers_to_recheck.end())
        state.peers_to_recheck.push_back(pending.target.id);
    for (int count = 0; count < indirect_probe_count; ++count)
    {
        member const* const relay_peer = random_live_peer(state);
        if (relay_peer == nullptr ||
            relay_peer->record.daemon == pending.target)
            continue;
        packet request =
            make_packet(state, packet_kind::ping_request, pending.number);
        request.probe_address = pending.address;
        send_packet(state, std::move(request), relay_peer->record.address,
                    relay_peer->record.daemon.id, out);
    }
}

void suspect_target(membership_state& state, probe const& pending,
                    time_point now, actions& out)
{
    member* const target = find_peer(state, pending.target.id);
    if (target == nullptr || target->record.daemon != pending.target ||
        target->record.state != peer_state::alive ||
        target->last_seen > pending.sent_at)
        return;
    set_peer_state(state, *target, peer_state::suspect, now, out);
    // The ping carries the suspect's record, so that it can refute at once. It
    // may arrive when only the direction from the suspect is interrupted.
    send_packet(
        state,
        make_packet(state, packet_kind::ping, state.next_packet_number++),
        pending.address, pending.target.id, out);
}

void check_probes(membership_state& state, time_point now, actions& out)
{
    std::vector<probe> unanswered;
    std::vector<probe> const previous = std::move(state.probes);
    for (probe pending : previous)
    {
        if (now - pending.sent_at >= state.parameters.probe_timeout)
        {
            suspect_target(state, pending, now, out);
            continue;
        }
        if (!pending.has_sent_indirect &&
            now - pending.sent_at >= state.parameters.ping_timeout)
            send_indirect_probes(state, pending, out);
        unanswered.push_back(pending);
    }
    state.probes = std::move(unanswered);
    std::erase_if(
        state.relayed_probes, [&](relayed_probe const& relayed)
        { return now - relayed.sent_at > state.parameters.probe_timeout; });
}

void probe_dead_peer(membership_state& state, time_point now, actions& out)
{
    state.next_dead_probe = now + state.parameters.dead_probe_period;
    std::vector<member const*> dead;
    for (member const& peer : state.peers)
    {
        if (peer.record.state == peer_state::dead)
            dead.push_back(&peer);
    }
    if (!dead.empty())
        start_probe(state, *dead[state.random() % dead.size()], now, out);
}

void recheck_peer(membership_state& state, time_point now, actions& out)
{
    state.next_recheck = now + state.parameters.recheck_period;
    if (state.peers_to_recheck.empty())
        return;
    member const* const peer = find_peer(state, state.peers_to_recheck.front());
    state.peers_to_recheck.erase(state.peers_to_recheck.begin());
    if (peer != nullptr)
        start_probe(state, *peer, now, out);
}

/// The ping period, up to 4 times as long while the gossip exceeds its budget.
duration current_ping_period(membership_state const& state)
{
    double const rate = state.recent_gossip_bytes / 10;
    double const factor =
        std::clamp(rate / state.parameters.gossip_budget_bytes_per_s, 1.0, 4.0);
    return duration(static_cast<duration::rep>(
        factor * static_cast<double>(state.parameters.ping_period.count())));
}

/// Sends updates that no packet has carried yet without waiting for the next
/// probe: a change of home would otherwise reach some daemons only after
/// several seconds. Stops above half of the gossip budget.
void spread_updates(membership_state& state, time_point now, actions& out)
{
    if (now < state.next_update_push ||
        state.recent_gossip_bytes / 10 >
            state.parameters.gossip_budget_bytes_per_s / 2)
        return;
    if (std::ranges::none_of(state.updates, [](pending_update const& pending)
                             { return pending.transmissions == 0; }))
        return;
    state.next_update_push = now + state.parameters.update_period;
    for (int count = 0; count < update_receivers; ++count)
    {
        member const* const peer = random_live_peer(state);
        if (peer == nullptr)
            return;
        send_packet(
            state,
            make_packet(state, packet_kind::ping, state.next_packet_number++),
            peer->record.address, peer->record.daemon.id, out);
    }
}

/// Whether the ack comes from the probed incarnation of the daemon. Another
/// daemon may reply at the address of a replaced machine. The first record of
/// an ack is its sender's own; a relay appends the record of the daemon that
/// replied as the second one. Further records are gossip and are not evidence.
bool is_ack_from_target(packet const& ack, probe const& pending)
{
    std::size_t const position = ack.sender_address == pending.address ? 0 : 1;
    return ack.peers.size() > position &&
           ack.peers[position].daemon == pending.target;
}

} // namespace

void on_ping(membership_state& state, packet const& received, time_point,
             actions& out)
{
    send_packet(state, make_packet(state, packet_kind::ack, received.number),
                received.sender_address, received.sender.id, out);
}

void on_ping_request(membership_state& state, packet const& received,
                     time_point now, actions& out)
{
    std::uint64_t const number = state.next_packet_number++;
    state.relayed_probes.push_back(
        {number, received.number, received.sender_address, now});
    send_packet(state, make_packet(state, packet_kind::ping, number),
                received.probe_address, 0, out);
}

void on_ack(membership_state& state, packet const& received, time_point now,
            actions& out)
{
    for (relayed_probe const& relayed : state.relayed_probes)
    {
        if (relayed.number != received.number || received.peers.empty())
            continue;
        packet ack =
            make_packet(state, packet_kind::ack, relayed.original_number);
        ack.peers.push_back(received.peers.front());
        send_packet(state, std::move(ack), relayed.requester_address, 0, out);
        return;
    }
    auto const found =
        std::ranges::find(state.probes, received.number, &probe::number);
    if (found == state.probes.end() || !is_ack_from_target(received, *found))
        return;
    member* const target = find_peer(state, found->target.id);
    bool const is_direct = received.sender == found->target;
    daemon_ref const confirmed = found->target;
    if (target != nullptr && is_direct && target->unanswered_probes != 0)
    {
        target->unanswered_probes = 0;
        state.needs_sweep = true;
    }
    state.probes.erase(found);
    confirm_alive(state, confirmed, now, out);
}

void run_probes(membership_state& state, time_point now, actions& out)
{
    check_probes(state, now, out);
    if (now >= state.next_ping)
    {
        state.next_ping = now + current_ping_period(state);
        if (member const* const peer = next_target(state))
            start_probe(state, *peer, now, out);
    }
    spread_updates(state, now, out);
    if (now >= state.next_dead_probe)
        probe_dead_peer(state, now, out);
    if (now >= state.next_recheck)
        recheck_peer(state, now, out);
}

} // namespace gooseberrycove::members
