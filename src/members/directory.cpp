#include "members/directory.hpp"

#include "members/gossip.hpp"
#include "members/lease.hpp"
#include "members/peers.hpp"
#include "members/withdrawal.hpp"

#include <algorithm>
#include <tuple>

namespace gooseberrycove::members
{

namespace
{

std::uint64_t mix_bits(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xFF51AFD7ED558CCD;
    value ^= value >> 33;
    value *= 0xC4CEB9FE1A85EC53;
    return value ^ (value >> 33);
}

void toggle_hash(digest& target, std::uint64_t bucket_hash, std::uint64_t value)
{
    target.total ^= value;
    target.buckets[bucket_of(bucket_hash)] ^= static_cast<std::uint32_t>(value);
}

bool is_listed(server_entry const& entry)
{
    return entry.is_used && entry.is_home_live &&
           entry.state != server_state::gone;
}

void toggle_entry(membership_state& state, std::uint32_t id)
{
    server_entry const& entry = state.servers.entries[id];
    if (!is_listed(entry))
        return;
    std::uint64_t const name_hash =
        hash_name(state.servers.server_names.name(id));
    toggle_hash(state.local_digest, name_hash,
                mix_bits(mix_bits(mix_bits(name_hash ^ entry.home.id) ^
                                  entry.home.incarnation) ^
                         entry.sequence));
}

void remove_from_service(membership_state& state, std::uint32_t id)
{
    server_entry& entry = state.servers.entries[id];
    if (entry.service_id == no_name)
        return;
    std::erase(state.servers.by_service[entry.service_id], id);
    mark_changed(state, entry.service_id);
    entry.service_id = no_name;
}

void add_to_service(membership_state& state, std::uint32_t id,
                    std::string_view service)
{
    std::uint32_t const service_id =
        state.servers.service_names.intern(service);
    if (state.servers.by_service.size() <= service_id)
        state.servers.by_service.resize(service_id + 1);
    state.servers.by_service[service_id].push_back(id);
    state.servers.entries[id].service_id = service_id;
    mark_changed(state, service_id);
}

void erase_entry(membership_state& state, std::uint32_t id)
{
    toggle_entry(state, id);
    remove_from_service(state, id);
    state.servers.entries[id] = server_entry{};
    --state.servers.used_entries;
}

/// Rebuilds the name pools without the names of removed servers. Without this
/// they would grow with each replaced machine: 19,000 a day at the target size.
void compact_directory(membership_state& state)
{
    directory previous = std::move(state.servers);
    std::erase_if(state.drain_changes,
                  [&](auto const& item)
                  {
                      auto const id = previous.server_names.find(item.first);
                      return id == no_name || !previous.entries[id].is_used;
                  });
    state.servers = directory{};
    std::erase_if(state.updates, [](pending_update const& pending)
                  { return pending.kind == subject_kind::server; });
    std::vector<std::uint32_t> services;
    for (std::uint32_t const service_id : state.changed_services)
        services.push_back(state.servers.service_names.intern(
            previous.service_names.name(service_id)));
    state.servers.by_service.resize(services.size());
    state.changed_services = services;
    state.load_changed_services.clear();
    for (std::uint32_t id = 0; id < previous.entries.size(); ++id)
    {
        if (!previous.entries[id].is_used)
            continue;
        std::uint32_t const new_id =
            state.servers.server_names.intern(previous.server_names.name(id));
        state.servers.entries.push_back(previous.entries[id]);
        state.servers.entries[new_id].service_id = no_name;
        add_to_service(
            state, new_id,
            previous.service_names.name(previous.entries[id].service_id));
        ++state.servers.used_entries;
    }
}

/// Grows by an eighth instead of doubling: at 70,000 servers doubling leaves
/// several MB unused.
void grow_entries(std::vector<server_entry>& entries, std::size_t size)
{
    if (entries.capacity() < size)
        entries.reserve(size + size / 8 + 64);
    entries.resize(size);
}

void sweep_entry(membership_state& state, std::uint32_t id, time_point now)
{
    server_entry& entry = state.servers.entries[id];
    bool const has_live_home = is_home_live(state, entry.home);
    bool const has_usable_home =
        has_live_home && is_home_usable(state, entry.home);
    if (has_live_home != entry.is_home_live ||
        has_usable_home != entry.is_home_usable)
    {
        toggle_entry(state, id);
        if (has_live_home != entry.is_home_live &&
            entry.state != server_state::gone)
            entry.unavailable_since = now;
        entry.is_home_live = has_live_home;
        entry.is_home_usable = has_usable_home;
        toggle_entry(state, id);
        mark_changed(state, entry.service_id);
    }
    bool const is_gone = entry.state == server_state::gone;
    duration const expiry =
        is_gone ? state.parameters.gone_expiry : state.parameters.orphan_expiry;
    if ((is_gone || !has_live_home) && now - entry.unavailable_since > expiry)
        erase_entry(state, id);
}

bool is_same_version(server_entry const& entry, server_record const& record)
{
    return entry.home == record.home && entry.sequence == record.sequence;
}

/// Handles a record that names this daemon as the home and differs from its
/// directory: publishes the server's present state under a higher sequence.
void correct_own_record(membership_state& state, server_record const& record,
                        time_point now)
{
    if (record.home.incarnation != state.own_record.daemon.incarnation)
        return;
    server_entry const* const entry = find_entry(state, record.server);
    if (entry != nullptr && is_same_version(*entry, record))
        return;
    state.record_sequence = std::max(state.record_sequence, record.sequence);
    if (homed_server_state const* const homed =
            find_homed_server(state, record.server))
        publish_entry(state, *homed, now);
    else if (record.state != server_state::gone && entry == nullptr)
        publish_gone(state, record.server, record.service, {}, now);
}

} // namespace

std::size_t bucket_of(std::uint64_t hash)
{
    return hash % digest::bucket_count;
}

std::uint64_t peer_hash(std::uint64_t id)
{
    return mix_bits(id);
}

void toggle_in_digest(membership_state& state, peer_record const& record)
{
    if (!is_live(record))
        return;
    toggle_hash(state.local_digest, peer_hash(record.daemon.id),
                mix_bits(mix_bits(record.daemon.id ^ 0x5045455200000000) ^
                         mix_bits(record.daemon.incarnation) ^
                         record.refutation));
}

void mark_changed(membership_state& state, std::uint32_t service_id)
{
    if (std::ranges::find(state.changed_services, service_id) ==
        state.changed_services.end())
        state.changed_services.push_back(service_id);
}

void mark_load_changed(membership_state& state, std::uint32_t service_id)
{
    if (std::ranges::find(state.load_changed_services, service_id) ==
        state.load_changed_services.end())
        state.load_changed_services.push_back(service_id);
}

server_entry* find_entry(membership_state& state, std::string_view server)
{
    std::uint32_t const id = state.servers.server_names.find(server);
    if (id == no_name || !state.servers.entries[id].is_used)
        return nullptr;
    return &state.servers.entries[id];
}

server_record make_record(membership_state const& state, std::uint32_t id)
{
    server_entry const& entry = state.servers.entries[id];
    server_record record;
    record.server = state.servers.server_names.name(id);
    record.service = state.servers.service_names.name(entry.service_id);
    record.slots = entry.slots;
    record.state = entry.state;
    record.health = entry.health;
    record.score = entry.score;
    record.home = entry.home;
    record.sequence = entry.sequence;
    record.drain_changes = drain_changes_of(state, record.server);
    record.announced = entry.announced;
    return record;
}

bool is_later(daemon_ref left_home, std::uint64_t left_sequence,
              daemon_ref right_home, std::uint64_t right_sequence)
{
    if (left_home.id == right_home.id)
        return std::pair(left_home.incarnation, left_sequence) >
               std::pair(right_home.incarnation, right_sequence);
    return std::tuple(left_sequence, left_home.id) >
           std::tuple(right_sequence, right_home.id);
}

std::uint32_t write_entry(membership_state& state, server_record const& record,
                          time_point now)
{
    std::uint32_t const id = state.servers.server_names.intern(record.server);
    if (state.servers.entries.size() <= id)
        grow_entries(state.servers.entries, id + 1);
    toggle_entry(state, id);
    server_entry& entry = state.servers.entries[id];
    if (!entry.is_used)
        ++state.servers.used_entries;
    if (entry.home != record.home)
    {
        entry.status_sequence = 0;
        entry.in_flight = entry.queued = 0;
        entry.load_at = {};
    }
    entry.is_used = true;
    entry.home = record.home;
    entry.announced = record.announced;
    entry.sequence = record.sequence;
    entry.slots = record.slots;
    entry.state = record.state;
    entry.health = record.health;
    entry.score = static_cast<float>(record.score);
    entry.unavailable_since = now;
    entry.is_home_live = is_home_live(state, record.home);
    entry.is_home_usable =
        entry.is_home_live && is_home_usable(state, record.home);
    if (entry.service_id == no_name ||
        state.servers.service_names.name(entry.service_id) != record.service)
    {
        remove_from_service(state, id);
        add_to_service(state, id, record.service);
    }
    mark_changed(state, entry.service_id);
    toggle_entry(state, id);
    return id;
}

bool apply_server(membership_state& state, server_record const& record,
                  bool should_spread, time_point now, actions& out)
{
    merge_drain_changes(state, record, now, out);
    merge_withdrawal(state, record, now, out);
    if (record.home.id == state.own_record.daemon.id)
    {
        correct_own_record(state, record, now);
        return false;
    }
    if (has_home_left(state, record.home))
        return false;
    // The home restarted, or the server moved, and a late announcement has
    // reached a daemon that does not know of the withdrawal.
    if (record.state == server_state::serving &&
        is_before_withdrawal(state, record.server, record.announced, now))
    {
        correct_home(state, record, out);
        return false;
    }
    server_entry const* const entry = find_entry(state, record.server);
    // A record of a home that left is replaced whatever its sequence is.
    if (entry != nullptr && !has_home_left(state, entry->home) &&
        !is_later(record.home, record.sequence, entry->home, entry->sequence))
        return false;
    if (find_homed_server(state, record.server) != nullptr)
        drop_homed_server(state, record.server, "moved to another home", out);
    std::uint32_t const id = write_entry(state, record, now);
    if (should_spread)
        add_update(state, subject_kind::server, id);
    return true;
}

void sweep(membership_state& state, time_point now)
{
    for (std::uint32_t id = 0; id < state.servers.entries.size(); ++id)
    {
        if (state.servers.entries[id].is_used)
            sweep_entry(state, id, now);
    }
    expire_withdrawals(state, now);
    if (state.servers.server_names.size() >
        2 * state.servers.used_entries + 1024)
        compact_directory(state);
}

} // namespace gooseberrycove::members
