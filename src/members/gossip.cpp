#include "members/gossip.hpp"

#include "members/directory.hpp"
#include "members/peers.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::members
{

namespace
{

/// Largest compact encodings: a daemon_ref takes 20 bytes, a 64-bit number 10,
/// a double 8, and each field one byte of header.
constexpr std::size_t peer_fixed = 60;
constexpr std::size_t server_fixed = 66;
constexpr std::size_t status_fixed = 84;

std::size_t packet_size(packet const& what)
{
    std::size_t size = packet_overhead + what.sender_address.size() +
                       what.probe_address.size();
    for (peer_record const& record : what.peers)
        size += estimate_size(record);
    return size;
}

/// Appends the subject of an update when it fits. Returns its size; 0 when the
/// subject no longer exists, and more than \p room when it does not fit.
std::size_t append(state const& s, update const& pending, std::size_t room,
                   packet& what)
{
    if (pending.what == subject::server)
    {
        if (pending.key >= s.servers.entries.size() ||
            !s.servers.entries[pending.key].used ||
            home_left(s, s.servers.entries[pending.key].home))
            return 0;
        server_record const record =
            make_record(s, static_cast<std::uint32_t>(pending.key));
        std::size_t const size = estimate_size(record);
        if (size <= room)
            what.servers.push_back(record);
        return size;
    }
    peer_record const* const record = find_record(s, pending.key);
    if (record == nullptr)
        return 0;
    std::size_t const size = estimate_size(*record);
    // This daemon's own record is in every packet already.
    if (size <= room && record != &s.self)
        what.peers.push_back(*record);
    return size;
}

void piggyback(state& s, packet& what)
{
    std::size_t size = packet_size(what);
    std::uint32_t const limit = send_count(s);
    std::ranges::stable_sort(s.updates, {}, &update::sent);
    for (update& pending : s.updates)
    {
        if (size + server_fixed > s.limits.packet_bytes)
            break;
        std::size_t const room = s.limits.packet_bytes - size;
        std::size_t const needed = append(s, pending, room, what);
        if (needed == 0)
            pending.sent = limit;
        if (needed == 0 || needed > room)
            continue;
        size += needed;
        ++pending.sent;
    }
    std::erase_if(s.updates,
                  [&](update const& pending) { return pending.sent >= limit; });
    s.gossip_bytes += static_cast<double>(size);
}

} // namespace

std::size_t estimate_size(peer_record const& record)
{
    return peer_fixed + record.name.size() + record.data_centre.size() +
           record.address.size() + record.admin_address.size();
}

std::size_t estimate_size(server_record const& record)
{
    return server_fixed + record.server.size() + record.service.size();
}

std::size_t estimate_size(server_status const& status)
{
    return status_fixed + status.server.size() + status.service.size();
}

void add_update(state& s, subject what, std::uint64_t key)
{
    for (update& pending : s.updates)
    {
        if (pending.what != what || pending.key != key)
            continue;
        pending.sent = 0;
        return;
    }
    if (s.updates.size() >= s.limits.max_updates)
    {
        auto const most =
            std::ranges::max_element(s.updates, {}, &update::sent);
        s.updates.erase(most);
    }
    s.updates.push_back(update{what, key, 0});
}

std::uint32_t send_count(state const& s)
{
    return static_cast<std::uint32_t>(
        std::ceil(3 * std::log2(static_cast<double>(s.peers.size()) + 2)));
}

packet make_packet(state const& s, packet_kind kind, std::uint64_t number)
{
    packet result;
    result.kind = kind;
    result.number = number;
    result.sender = s.self.daemon;
    result.sender_address = s.self.address;
    result.config_version = s.self.config_version;
    result.peers.push_back(s.self);
    return result;
}

void send_packet(state& s, packet&& what, std::string const& address,
                 std::uint64_t receiver, actions& out)
{
    member const* const known = find_peer(s, receiver);
    if (known != nullptr && known->record.state != peer_state::alive)
        what.peers.push_back(known->record);
    piggyback(s, what);
    out.to_peers.push_back({address, std::move(what)});
}

void push_news(state& s, int count, actions& out)
{
    std::vector<std::uint64_t> receivers;
    for (; count > 0; --count)
    {
        member const* const who = random_live(s);
        if (who == nullptr ||
            std::ranges::find(receivers, who->record.daemon.id) !=
                receivers.end())
            continue;
        receivers.push_back(who->record.daemon.id);
        send_packet(s, make_packet(s, packet_kind::ping, s.next_number++),
                    who->record.address, who->record.daemon.id, out);
    }
}

} // namespace gooseberrycove::members
