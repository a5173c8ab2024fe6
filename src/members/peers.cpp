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

void log_peer(event what, peer_record const& record, actions& out)
{
    out.log.push_back(event_line(what)
                          .field("peer", record.name)
                          .field("address", record.address)
                          .field("incarnation", record.daemon.incarnation));
}

event event_of(peer_state value)
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

void erase_peer(state& s, std::uint64_t id)
{
    auto const found = s.peer_index.find(id);
    std::uint32_t const at = found->second;
    toggle_listed(s, s.peers[at].record);
    s.peer_index.erase(found);
    if (at + 1 != s.peers.size())
    {
        s.peers[at] = std::move(s.peers.back());
        s.peer_index[s.peers[at].record.daemon.id] = at;
    }
    s.peers.pop_back();
    s.live_changed = s.sweep_wanted = true;
}

/// A replaced machine often gets the address of the one before it, which is
/// then known to be dead.
void bury_former_holder(state& s, peer_record const& record, time_point now,
                        actions& out)
{
    for (member& other : s.peers)
    {
        if (other.record.address == record.address &&
            other.record.daemon.id != record.daemon.id && is_live(other.record))
            set_peer_state(s, other, peer_state::dead, now, out);
    }
}

void insert_peer(state& s, peer_record const& record, origin from,
                 time_point now, actions& out)
{
    if (!is_live(record))
        return;
    if (from == origin::itself)
        bury_former_holder(s, record, now, out);
    s.peer_index[record.daemon.id] = static_cast<std::uint32_t>(s.peers.size());
    member added;
    added.record = record;
    added.since = now;
    if (from == origin::itself)
        added.heard = now;
    s.peers.push_back(added);
    toggle_listed(s, record);
    s.live_changed = s.sweep_wanted = true;
    if (from == origin::sync)
        return;
    add_update(s, subject::peer, record.daemon.id);
    log_peer(event::peer_joined, record, out);
}

void replace_record(state& s, member& who, peer_record const& record,
                    time_point now)
{
    bool const live = is_live(who.record);
    bool const state_changed = who.record.state != record.state;
    bool const run_changed = who.record.daemon != record.daemon;
    toggle_listed(s, who.record);
    who.record = record;
    toggle_listed(s, who.record);
    if (state_changed || run_changed)
        who.since = now;
    if (run_changed)
        who.unanswered = 0;
    if (run_changed || live != is_live(record))
        s.live_changed = s.sweep_wanted = true;
}

/// Somebody holds this daemon for suspect or dead: raises the refutation.
void refute(state& s, peer_record const& record)
{
    bool const accused =
        record.state == peer_state::suspect || record.state == peer_state::dead;
    if (record.daemon != s.self.daemon || !accused ||
        record.refutation < s.self.refutation)
        return;
    toggle_listed(s, s.self);
    s.self.refutation = record.refutation + 1;
    toggle_listed(s, s.self);
    add_update(s, subject::peer, s.self.daemon.id);
    if (record.state != peer_state::dead)
        return;
    // Those who held this daemon for dead also dropped its servers.
    for (homed const& here : s.homes)
        add_update(s, subject::server, s.servers.names.find(here.what.server));
}

/// A death is checked before it is believed: the peer may be reachable from
/// here, and gets the time of a suspicion to refute.
peer_record checked(member const& known, peer_record record, origin from)
{
    if (from != origin::itself && record.state == peer_state::dead &&
        known.record.daemon == record.daemon &&
        known.record.state == peer_state::alive)
        record.state = peer_state::suspect;
    return record;
}

bool supersedes(peer_record const& fresh, peer_record const& old)
{
    return std::tuple(fresh.daemon.incarnation,
                      fresh.state == peer_state::leaving, fresh.refutation,
                      fresh.state) >
           std::tuple(old.daemon.incarnation, old.state == peer_state::leaving,
                      old.refutation, old.state);
}

/// A sync may name as alive a peer that is dead here. Neither is believed: the
/// peer is asked.
void request_recheck(state& s, member const& known, peer_record const& record)
{
    if (known.record.state == peer_state::dead && is_live(record) &&
        known.record.daemon == record.daemon &&
        std::ranges::find(s.recheck, record.daemon.id) == s.recheck.end())
        s.recheck.push_back(record.daemon.id);
}

} // namespace

bool is_live(peer_record const& record)
{
    return record.state == peer_state::alive ||
           record.state == peer_state::suspect;
}

member* find_peer(state& s, std::uint64_t id)
{
    auto const found = s.peer_index.find(id);
    return found == s.peer_index.end() ? nullptr : &s.peers[found->second];
}

member const* find_peer(state const& s, std::uint64_t id)
{
    auto const found = s.peer_index.find(id);
    return found == s.peer_index.end() ? nullptr : &s.peers[found->second];
}

peer_record const* find_record(state const& s, std::uint64_t id)
{
    if (id == s.self.daemon.id)
        return &s.self;
    member const* const known = find_peer(s, id);
    return known == nullptr ? nullptr : &known->record;
}

bool home_live(state const& s, daemon_ref home)
{
    peer_record const* const record = find_record(s, home.id);
    return record != nullptr && record->daemon == home && is_live(*record);
}

bool home_left(state const& s, daemon_ref home)
{
    peer_record const* const known = find_record(s, home.id);
    return known != nullptr &&
           (known->daemon.incarnation > home.incarnation ||
            (known->daemon == home && known->state == peer_state::leaving));
}

bool home_usable(state const& s, daemon_ref home)
{
    member const* const known = find_peer(s, home.id);
    return known == nullptr || known->unanswered < 2;
}

std::size_t live_count(state const& s)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        s.peers, [](member const& who) { return is_live(who.record); }));
}

member const* random_live(state& s)
{
    if (s.peers.empty())
        return nullptr;
    std::size_t const start = s.random() % s.peers.size();
    for (std::size_t step = 0; step < s.peers.size(); ++step)
    {
        member const& who = s.peers[(start + step) % s.peers.size()];
        if (is_live(who.record))
            return &who;
    }
    return nullptr;
}

void merge_peer(state& s, peer_record const& record, origin from,
                time_point now, actions& out)
{
    if (record.daemon.id == s.self.daemon.id)
        return refute(s, record);
    member* const known = find_peer(s, record.daemon.id);
    if (known == nullptr)
        return insert_peer(s, record, from, now, out);
    peer_record const fresh = checked(*known, record, from);
    if (!supersedes(fresh, known->record))
        return request_recheck(s, *known, fresh);
    peer_state const before = known->record.state;
    bool const rejoined =
        known->record.daemon != fresh.daemon || !is_live(known->record);
    replace_record(s, *known, fresh, now);
    if (before == peer_state::dead)
        hasten_sync(s, now);
    if (from != origin::sync)
        add_update(s, subject::peer, record.daemon.id);
    if (before != fresh.state && (fresh.state != peer_state::alive || rejoined))
        log_peer(event_of(fresh.state), known->record, out);
}

void confirm_alive(state& s, daemon_ref who, time_point now, actions& out)
{
    member* const known = find_peer(s, who.id);
    if (known == nullptr || known->record.daemon != who)
        return;
    known->heard = now;
    if (known->record.state == peer_state::dead)
    {
        hasten_sync(s, now);
        log_peer(event::peer_joined, known->record, out);
    }
    if (known->record.state == peer_state::dead ||
        known->record.state == peer_state::suspect)
    {
        peer_record record = known->record;
        record.state = peer_state::alive;
        replace_record(s, *known, record, now);
    }
}

void set_peer_state(state& s, member& who, peer_state value, time_point now,
                    actions& out)
{
    peer_record record = who.record;
    record.state = value;
    replace_record(s, who, record, now);
    add_update(s, subject::peer, record.daemon.id);
    log_peer(event_of(value), record, out);
}

void hasten_sync(state& s, time_point now)
{
    duration const spacing(5'000'000 +
                           10'000 * static_cast<int>(s.peers.size()));
    s.next_sync = std::min(
        s.next_sync, std::max(now + duration(500'000), s.last_sync + spacing));
}

duration suspicion_time(state const& s)
{
    // Gossip needs time that grows with log n to reach a suspect and to bring
    // its refutation back; at 6,000 daemons this gives 9.4 s.
    double const peers = static_cast<double>(s.peers.size()) + 1;
    double const factor = std::max(1.0, std::log10(peers) / 2);
    return duration(static_cast<duration::rep>(
        factor * static_cast<double>(s.limits.suspicion.count())));
}

void expire_peers(state& s, time_point now, actions& out)
{
    duration const suspicion = suspicion_time(s);
    std::vector<std::uint64_t> forgotten;
    for (member& who : s.peers)
    {
        duration const age = now - who.since;
        if (who.record.state == peer_state::suspect && age > suspicion)
            set_peer_state(s, who, peer_state::dead, now, out);
        if ((who.record.state == peer_state::leaving &&
             age > s.limits.gone_expiry) ||
            (who.record.state == peer_state::dead &&
             age > s.limits.dead_expiry))
            forgotten.push_back(who.record.daemon.id);
    }
    for (std::uint64_t const id : forgotten)
        erase_peer(s, id);
}

void flush_live(state& s, time_point now, actions& out)
{
    if (!s.live_changed || now < s.next_live)
        return;
    s.live_changed = false;
    out.daemons.emplace();
    out.live_peers.emplace();
    out.daemons->daemons.push_back(s.self.daemon);
    for (member const& who : s.peers)
    {
        if (!is_live(who.record))
            continue;
        out.daemons->daemons.push_back(who.record.daemon);
        out.live_peers->addresses.push_back(who.record.address);
    }
    // Copying 6,000 addresses costs about 1 ms, so large lists wait longer.
    s.next_live =
        now + duration(100'000 + 200 * static_cast<int>(s.peers.size()));
}

} // namespace gooseberrycove::members
