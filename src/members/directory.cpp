#include "members/directory.hpp"

#include "members/gossip.hpp"
#include "members/lease.hpp"
#include "members/peers.hpp"

#include <algorithm>
#include <tuple>

namespace gooseberrycove::members
{

namespace
{

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xFF51AFD7ED558CCD;
    value ^= value >> 33;
    value *= 0xC4CEB9FE1A85EC53;
    return value ^ (value >> 33);
}

void toggle(digest& d, std::uint64_t bucket_hash, std::uint64_t value)
{
    d.total ^= value;
    d.buckets[bucket_of(bucket_hash)] ^= static_cast<std::uint32_t>(value);
}

bool is_listed(server_entry const& entry)
{
    return entry.used && entry.home_live && entry.state != server_state::gone;
}

void toggle_entry(state& s, std::uint32_t id)
{
    server_entry const& entry = s.servers.entries[id];
    if (!is_listed(entry))
        return;
    std::uint64_t const name = hash_name(s.servers.names.name(id));
    toggle(s.listed, name,
           mix(mix(mix(name ^ entry.home.id) ^ entry.home.incarnation) ^
               entry.sequence));
}

void leave_service(state& s, std::uint32_t id)
{
    server_entry& entry = s.servers.entries[id];
    if (entry.service == no_name)
        return;
    std::erase(s.servers.by_service[entry.service], id);
    mark_changed(s, entry.service);
    entry.service = no_name;
}

void join_service(state& s, std::uint32_t id, std::string_view service)
{
    std::uint32_t const number = s.servers.services.intern(service);
    if (s.servers.by_service.size() <= number)
        s.servers.by_service.resize(number + 1);
    s.servers.by_service[number].push_back(id);
    s.servers.entries[id].service = number;
    mark_changed(s, number);
}

void erase_entry(state& s, std::uint32_t id)
{
    toggle_entry(s, id);
    leave_service(s, id);
    s.servers.entries[id] = server_entry{};
    --s.servers.used;
}

/// Names of replaced servers would pile up: at the target 19,000 machines are
/// replaced a day. Rebuilds the pool when most names are unused.
void compact(state& s)
{
    directory old = std::move(s.servers);
    std::erase_if(s.drains,
                  [&](auto const& item)
                  {
                      auto const id = old.names.find(item.first);
                      return id == no_name || !old.entries[id].used;
                  });
    s.servers = directory{};
    std::erase_if(s.updates, [](update const& pending)
                  { return pending.what == subject::server; });
    std::vector<std::uint32_t> services;
    for (std::uint32_t const service : s.changed_services)
        services.push_back(
            s.servers.services.intern(old.services.name(service)));
    s.servers.by_service.resize(services.size());
    s.changed_services = services;
    s.loaded_services.clear();
    for (std::uint32_t id = 0; id < old.entries.size(); ++id)
    {
        if (!old.entries[id].used)
            continue;
        std::uint32_t const moved = s.servers.names.intern(old.names.name(id));
        s.servers.entries.push_back(old.entries[id]);
        s.servers.entries[moved].service = no_name;
        join_service(s, moved, old.services.name(old.entries[id].service));
        ++s.servers.used;
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

void sweep_entry(state& s, std::uint32_t id, time_point now)
{
    server_entry& entry = s.servers.entries[id];
    bool const live = home_live(s, entry.home);
    bool const usable = live && home_usable(s, entry.home);
    if (live != entry.home_live || usable != entry.home_usable)
    {
        toggle_entry(s, id);
        if (live != entry.home_live && entry.state != server_state::gone)
            entry.since = now;
        entry.home_live = live;
        entry.home_usable = usable;
        toggle_entry(s, id);
        mark_changed(s, entry.service);
    }
    bool const gone = entry.state == server_state::gone;
    duration const keep = gone ? s.limits.gone_expiry : s.limits.orphan_expiry;
    if ((gone || !live) && now - entry.since > keep)
        erase_entry(s, id);
}

bool same_content(server_entry const& entry, server_record const& record)
{
    return entry.home == record.home && entry.sequence == record.sequence;
}

/// Another daemon holds an entry that names this daemon as the home.
void correct_own(state& s, server_record const& record, time_point now)
{
    if (record.home.incarnation != s.self.daemon.incarnation)
        return;
    server_entry const* const entry = find_entry(s, record.server);
    if (entry != nullptr && same_content(*entry, record))
        return;
    s.sequence = std::max(s.sequence, record.sequence);
    if (homed const* const here = find_homed(s, record.server))
        publish(s, *here, now);
    else if (record.state != server_state::gone && entry == nullptr)
        publish_gone(s, record.server, record.service, now);
}

} // namespace

std::size_t bucket_of(std::uint64_t hash)
{
    return hash % digest::bucket_count;
}

std::uint64_t peer_hash(std::uint64_t id)
{
    return mix(id);
}

void toggle_listed(state& s, peer_record const& record)
{
    if (!is_live(record))
        return;
    toggle(s.listed, peer_hash(record.daemon.id),
           mix(mix(record.daemon.id ^ 0x5045455200000000) ^
               mix(record.daemon.incarnation) ^ record.refutation));
}

void mark_changed(state& s, std::uint32_t service)
{
    if (std::ranges::find(s.changed_services, service) ==
        s.changed_services.end())
        s.changed_services.push_back(service);
}

void mark_loaded(state& s, std::uint32_t service)
{
    if (std::ranges::find(s.loaded_services, service) ==
        s.loaded_services.end())
        s.loaded_services.push_back(service);
}

server_entry* find_entry(state& s, std::string_view server)
{
    std::uint32_t const id = s.servers.names.find(server);
    if (id == no_name || !s.servers.entries[id].used)
        return nullptr;
    return &s.servers.entries[id];
}

server_record make_record(state const& s, std::uint32_t id)
{
    server_entry const& entry = s.servers.entries[id];
    server_record record;
    record.server = s.servers.names.name(id);
    record.service = s.servers.services.name(entry.service);
    record.slots = entry.slots;
    record.state = entry.state;
    record.health = entry.health;
    record.score = entry.score;
    record.home = entry.home;
    record.sequence = entry.sequence;
    record.drain_changes = drains_of(s, record.server);
    return record;
}

bool later(daemon_ref left_home, std::uint64_t left_sequence,
           daemon_ref right_home, std::uint64_t right_sequence)
{
    if (left_home.id == right_home.id)
        return std::pair(left_home.incarnation, left_sequence) >
               std::pair(right_home.incarnation, right_sequence);
    return std::tuple(left_sequence, left_home.id) >
           std::tuple(right_sequence, right_home.id);
}

std::uint32_t write_entry(state& s, server_record const& record, time_point now)
{
    std::uint32_t const id = s.servers.names.intern(record.server);
    if (s.servers.entries.size() <= id)
        grow_entries(s.servers.entries, id + 1);
    toggle_entry(s, id);
    server_entry& entry = s.servers.entries[id];
    if (!entry.used)
        ++s.servers.used;
    if (entry.home != record.home)
    {
        entry.status_sequence = 0;
        entry.in_flight = entry.queued = 0;
    }
    entry.used = true;
    entry.home = record.home;
    entry.sequence = record.sequence;
    entry.slots = record.slots;
    entry.state = record.state;
    entry.health = record.health;
    entry.score = static_cast<float>(record.score);
    entry.since = now;
    entry.home_live = home_live(s, record.home);
    entry.home_usable = entry.home_live && home_usable(s, record.home);
    if (entry.service == no_name ||
        s.servers.services.name(entry.service) != record.service)
    {
        leave_service(s, id);
        join_service(s, id, record.service);
    }
    mark_changed(s, entry.service);
    toggle_entry(s, id);
    return id;
}

bool apply_server(state& s, server_record const& record, bool spread,
                  time_point now, actions& out)
{
    learn_drains(s, record, now, out);
    if (record.home.id == s.self.daemon.id)
    {
        correct_own(s, record, now);
        return false;
    }
    if (home_left(s, record.home))
        return false;
    server_entry const* const entry = find_entry(s, record.server);
    // A home that left has no say any more, whatever its last sequence was.
    if (entry != nullptr && !home_left(s, entry->home) &&
        !later(record.home, record.sequence, entry->home, entry->sequence))
        return false;
    if (find_homed(s, record.server) != nullptr)
        drop_homed(s, record.server, "moved to another home", out);
    std::uint32_t const id = write_entry(s, record, now);
    if (spread)
        add_update(s, subject::server, id);
    return true;
}

void sweep(state& s, time_point now)
{
    for (std::uint32_t id = 0; id < s.servers.entries.size(); ++id)
    {
        if (s.servers.entries[id].used)
            sweep_entry(s, id, now);
    }
    if (s.servers.names.size() > 2 * s.servers.used + 1024)
        compact(s);
}

} // namespace gooseberrycove::members
