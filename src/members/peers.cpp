#include "members/peers.hpp"

#include "members/directory.hpp"
#include "members/gossip.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace gooseberrycove::members
{

namespace
{

void log_peer(event id, peer_record const& record, actions& out)
{
    out.log.push_back(event_line(id)
                          .field("peer", record.name)
                          .field("address", record.address)
                          .field("incarnation", record.daemon.incarnation));
}

event event_for_state(peer_state value)
{
    switch (value)
    {
    case peer_state::suspect:
        return event::peer_suspected;
    case peer_state::dead:
        return event::peer_dead;
    case peer_state::leaving:
        return event::peer_left;
    case peer_state::alive:
        break;
    }
    return event::peer_joined;
}

void erase_peer(membership_state& state, std::uint64_t id)
{
    auto const found = state.peer_index.find(id);
    std::uint32_t const position = found->second;
    toggle_in_digest(state, state.peers[position].record);
    state.peer_index.erase(found);
    if (position + 1 != state.peers.size())
    {
        state.peers[position] = std::move(state.peers.back());
        state.peer_index[state.peers[position].record.daemon.id] = position;
    }
    state.peers.pop_back();
    state.has_liveness_changed = state.needs_sweep = true;
}

/// Marks other peers with the address of \p record dead. A replacement machine
/// often gets the address of the machine that it replaces.
void mark_former_holder_dead(membership_state& state, peer_record const& record,
                             time_point now, actions& out)
{
    for (member& other : state.peers)
    {
        if (other.record.address == record.address &&
            other.record.daemon.id != record.daemon.id && is_live(other.record))
            set_peer_state(state, other, peer_state::dead, now, out);
    }
}

void insert_peer(membership_state& state, peer_record const& record,
                 record_source source, time_point now, actions& out)
{
    if (!is_live(record))
        return;
    if (source == record_source::owner)
        mark_former_holder_dead(state, record, now, out);
    state.peer_index[record.daemon.id] =
        static_cast<std::uint32_t>(state.peers.size());
    member added;
    added.record = record;
    added.state_since = now;
    if (source == record_source::owner)
        added.last_seen = now;
    state.peers.push_back(added);
    toggle_in_digest(state, record);
    state.has_liveness_changed = state.needs_sweep = true;
    if (source == record_source::sync)
        return;
    add_update(state, subject_kind::peer, record.daemon.id);
    log_peer(event::peer_joined, record, out);
}

void replace_record(membership_state& state, member& peer,
                    peer_record const& record, time_point now)
{
    bool const was_live = is_live(peer.record);
    bool const is_state_changed = peer.record.state != record.state;
    bool const is_run_changed = peer.record.daemon != record.daemon;
    toggle_in_digest(state, peer.record);
    peer.record = record;
    toggle_in_digest(state, peer.record);
    if (is_state_changed || is_run_changed)
        peer.state_since = now;
    if (is_run_changed)
        peer.unanswered_probes = 0;
    if (is_run_changed || was_live != is_live(record))
        state.has_liveness_changed = state.needs_sweep = true;
}

/// Raises the refutation when another daemon's record lists this daemon as
/// suspect or dead.
void refute(membership_state& state, peer_record const& record)
{
    bool const is_reported_down =
        record.state == peer_state::suspect || record.state == peer_state::dead;
    if (record.daemon != state.own_record.daemon || !is_reported_down ||
        record.refutation < state.own_record.refutation)
        return;
    toggle_in_digest(state, state.own_record);
    state.own_record.refutation = record.refutation + 1;
    toggle_in_digest(state, state.own_record);
    add_update(state, subject_kind::peer, state.own_record.daemon.id);
    if (record.state != peer_state::dead)
        return;
    // Daemons that listed this one as dead have also dropped its servers.
    for (homed_server_state const& homed : state.homed_servers)
        add_update(state, subject_kind::server,
                   state.servers.server_names.find(homed.details.server));
}

/// Turns a report that an alive peer is dead into a suspicion: the peer may be
/// reachable from this daemon, and gets the time to refute.
peer_record downgrade_dead_report(member const& peer, peer_record record,
                                  record_source source)
{
    if (source != record_source::owner && record.state == peer_state::dead &&
        peer.record.daemon == record.daemon &&
        peer.record.state == peer_state::alive)
        record.state = peer_state::suspect;
    return record;
}

bool supersedes(peer_record const& incoming, peer_record const& recorded)
{
    return std::tuple(incoming.daemon.incarnation,
                      incoming.state == peer_state::leaving,
                      incoming.refutation, incoming.state) >
           std::tuple(recorded.daemon.incarnation,
                      recorded.state == peer_state::leaving,
                      recorded.refutation, recorded.state);
}

/// Queues a probe of a peer that is dead in this daemon's list and live in the
/// received record, because either of them may be out of date.
void request_recheck(membership_state& state, member const& peer,
                     peer_record const& record)
{
    if (peer.record.state == peer_state::dead && is_live(record) &&
        peer.record.daemon == record.daemon &&
        std::ranges::find(state.peers_to_recheck, record.daemon.id) ==
            state.peers_to_recheck.end())
        state.peers_to_recheck.push_back(record.daemon.id);
}

} // namespace

bool is_live(peer_record const& record)
{
    return record.state == peer_state::alive ||
           record.state == peer_state::suspect;
}

member* find_peer(membership_state& state, std::uint64_t id)
{
    auto const found = state.peer_index.find(id);
    return found == state.peer_index.end() ? nullptr
                                           : &state.peers[found->second];
}

member const* find_peer(membership_state const& state, std::uint64_t id)
{
    auto const found = state.peer_index.find(id);
    return found == state.peer_index.end() ? nullptr
                                           : &state.peers[found->second];
}

peer_record const* find_record(membership_state const& state, std::uint64_t id)
{
    if (id == state.own_record.daemon.id)
        return &state.own_record;
    member const* const peer = find_peer(state, id);
    return peer == nullptr ? nullptr : &peer->record;
}

bool is_home_live(membership_state const& state, daemon_ref home)
{
    peer_record const* const record = find_record(state, home.id);
    return record != nullptr && record->daemon == home && is_live(*record);
}

bool has_home_left(membership_state const& state, daemon_ref home)
{
    peer_record const* const record = find_record(state, home.id);
    return record != nullptr &&
           (record->daemon.incarnation > home.incarnation ||
            (record->daemon == home && record->state == peer_state::leaving));
}

bool is_home_usable(membership_state const& state, daemon_ref home)
{
    member const* const peer = find_peer(state, home.id);
    return peer == nullptr || peer->unanswered_probes < 2;
}

std::size_t live_peer_count(membership_state const& state)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        state.peers, [](member const& peer) { return is_live(peer.record); }));
}

member const* random_live_peer(membership_state& state)
{
    if (state.peers.empty())
        return nullptr;
    std::size_t const start = state.random() % state.peers.size();
    for (std::size_t step = 0; step < state.peers.size(); ++step)
    {
        member const& peer = state.peers[(start + step) % state.peers.size()];
        if (is_live(peer.record))
            return &peer;
    }
    return nullptr;
}

void merge_peer(membership_state& state, peer_record const& record,
                record_source source, time_point now, actions& out)
{
    if (record.daemon.id == state.own_record.daemon.id)
        return refute(state, record);
    member* const peer = find_peer(state, record.daemon.id);
    if (peer == nullptr)
        return insert_peer(state, record, source, now, out);
    peer_record const incoming = downgrade_dead_report(*peer, record, source);
    if (!supersedes(incoming, peer->record))
        return request_recheck(state, *peer, incoming);
    peer_state const previous_state = peer->record.state;
    bool const has_rejoined =
        peer->record.daemon != incoming.daemon || !is_live(peer->record);
    replace_record(state, *peer, incoming, now);
    if (previous_state == peer_state::dead)
        schedule_early_sync(state, now);
    if (source != record_source::sync)
        add_update(state, subject_kind::peer, record.daemon.id);
    if (previous_state != incoming.state &&
        (incoming.state != peer_state::alive || has_rejoined))
        log_peer(event_for_state(incoming.state), peer->record, out);
}

void confirm_alive(membership_state& state, daemon_ref daemon, time_point now,
                   actions& out)
{
    member* const peer = find_peer(state, daemon.id);
    if (peer == nullptr || peer->record.daemon != daemon)
        return;
    peer->last_seen = now;
    if (peer->record.state == peer_state::dead)
    {
        schedule_early_sync(state, now);
        log_peer(event::peer_joined, peer->record, out);
    }
    if (peer->record.state == peer_state::dead ||
        peer->record.state == peer_state::suspect)
    {
        peer_record record = peer->record;
        record.state = peer_state::alive;
        replace_record(state, *peer, record, now);
    }
}

void set_peer_state(membership_state& state, member& peer, peer_state value,
                    time_point now, actions& out)
{
    peer_record record = peer.record;
    record.state = value;
    replace_record(state, peer, record, now);
    add_update(state, subject_kind::peer, record.daemon.id);
    log_peer(event_for_state(value), record, out);
}

void schedule_early_sync(membership_state& state, time_point now)
{
    duration const spacing(5'000'000 +
                           10'000 * static_cast<int>(state.peers.size()));
    state.next_sync =
        std::min(state.next_sync,
                 std::max(now + duration(500'000), state.last_sync + spacing));
}

duration suspicion_time(membership_state const& state)
{
    // Gossip needs time that grows with log n to reach a suspect and to bring
    // its refutation back; at 6,000 daemons this gives 9.4 s.
    double const peers = static_cast<double>(state.peers.size()) + 1;
    double const factor = std::max(1.0, std::log10(peers) / 2);
    return duration(static_cast<duration::rep>(
        factor *
        static_cast<double>(state.parameters.min_suspicion_time.count())));
}

void expire_peers(membership_state& state, time_point now, actions& out)
{
    duration const suspicion = suspicion_time(state);
    std::vector<std::uint64_t> expired;
    for (member& peer : state.peers)
    {
        duration const age = now - peer.state_since;
        if (peer.record.state == peer_state::suspect && age > suspicion)
            set_peer_state(state, peer, peer_state::dead, now, out);
        if ((peer.record.state == peer_state::leaving &&
             age > state.parameters.gone_expiry) ||
            (peer.record.state == peer_state::dead &&
             age > state.parameters.dead_expiry))
            expired.push_back(peer.record.daemon.id);
    }
    for (std::uint64_t const id : expired)
        erase_peer(state, id);
}

void flush_live_daemons(membership_state& state, time_point now, actions& out)
{
    if (!state.has_liveness_changed || now < state.next_live_daemons)
        return;
    state.has_liveness_changed = false;
    out.daemons.emplace();
    out.live_peers.emplace();
    out.fleet.emplace();
    out.fleet->has_joined = state.has_peer_records;
    out.daemons->daemons.push_back(state.own_record.daemon);
    for (member const& peer : state.peers)
    {
        if (peer.record.state != peer_state::dead)
            out.fleet->members.push_back({peer.record.daemon,
                                          peer.record.address,
                                          is_live(peer.record)});
        if (!is_live(peer.record))
            continue;
        out.daemons->daemons.push_back(peer.record.daemon);
        out.live_peers->addresses.push_back(peer.record.address);
    }
    // Copying 6,000 addresses costs about 1 ms, so the interval grows with the
    // list.
    state.next_live_daemons =
        now + duration(100'000 + 200 * static_cast<int>(state.peers.size()));
}

} // namespace gooseberrycove::members
