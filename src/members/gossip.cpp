#include "members/gossip.hpp"

#include "members/directory.hpp"
#include "members/peers.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::members
{

namespace
{

/// Sizes of the fixed fields at their largest compact encoding: a daemon_ref
/// takes 20 bytes, a 64-bit number 10, a double 8, and each field one byte of
/// header.
constexpr std::size_t peer_fixed_bytes = 60;
constexpr std::size_t server_fixed_bytes = 88;
constexpr std::size_t status_fixed_bytes = 84;

/// Appends the record that an update refers to when it fits. Returns its size
/// in bytes, which is above \p available_bytes when it does not fit; 0 when the
/// record no longer exists or the server's home has left.
std::size_t append_update(membership_state const& state,
                          pending_update const& pending,
                          std::size_t available_bytes, packet& target)
{
    if (pending.kind == subject_kind::server)
    {
        if (pending.key >= state.servers.entries.size() ||
            !state.servers.entries[pending.key].is_used ||
            has_home_left(state, state.servers.entries[pending.key].home))
            return 0;
        server_record const record =
            make_record(state, static_cast<std::uint32_t>(pending.key));
        std::size_t const size = estimate_size(record);
        if (size <= available_bytes)
            target.servers.push_back(record);
        return size;
    }
    peer_record const* const record = find_record(state, pending.key);
    if (record == nullptr)
        return 0;
    std::size_t const size = estimate_size(*record);
    // This daemon's own record is in every packet already.
    if (size <= available_bytes && record != &state.own_record)
        target.peers.push_back(*record);
    return size;
}

void piggyback_updates(membership_state& state, packet& target)
{
    std::size_t size = estimate_size(target);
    std::uint32_t const limit = transmit_limit(state);
    std::ranges::stable_sort(state.updates, {}, &pending_update::transmissions);
    for (pending_update& pending : state.updates)
    {
        if (size + server_fixed_bytes > state.parameters.max_packet_bytes)
            break;
        std::size_t const available_bytes =
            state.parameters.max_packet_bytes - size;
        std::size_t const needed_bytes =
            append_update(state, pending, available_bytes, target);
        if (needed_bytes == 0)
            pending.transmissions = limit;
        if (needed_bytes == 0 || needed_bytes > available_bytes)
            continue;
        size += needed_bytes;
        ++pending.transmissions;
    }
    std::erase_if(state.updates, [&](pending_update const& pending)
                  { return pending.transmissions >= limit; });
    state.recent_gossip_bytes += static_cast<double>(size);
}

} // namespace

std::size_t estimate_size(peer_record const& record)
{
    return peer_fixed_bytes + record.name.size() + record.data_centre.size() +
           record.address.size() + record.admin_address.size();
}

std::size_t estimate_size(server_record const& record)
{
    return server_fixed_bytes + record.server.size() + record.service.size();
}

std::size_t estimate_size(server_status const& status)
{
    return status_fixed_bytes + status.server.size() + status.service.size();
}

std::size_t estimate_size(packet const& content)
{
    std::size_t size = packet_overhead_bytes + content.sender_address.size() +
                       content.probe_address.size();
    for (peer_record const& record : content.peers)
        size += estimate_size(record);
    for (server_record const& record : content.servers)
        size += estimate_size(record);
    for (server_status const& status : content.statuses)
        size += estimate_size(status);
    return size;
}

void add_update(membership_state& state, subject_kind kind, std::uint64_t key)
{
    for (pending_update& pending : state.updates)
    {
        if (pending.kind != kind || pending.key != key)
            continue;
        pending.transmissions = 0;
        return;
    }
    if (state.updates.size() >= state.parameters.max_updates)
    {
        auto const most_transmitted = std::ranges::max_element(
            state.updates, {}, &pending_update::transmissions);
        state.updates.erase(most_transmitted);
    }
    state.updates.push_back(pending_update{kind, key, 0});
}

std::uint32_t transmit_limit(membership_state const& state)
{
    return static_cast<std::uint32_t>(
        std::ceil(3 * std::log2(static_cast<double>(state.peers.size()) + 2)));
}

packet make_packet(membership_state const& state, packet_kind kind,
                   std::uint64_t number)
{
    packet result;
    result.kind = kind;
    result.number = number;
    result.sender = state.own_record.daemon;
    result.sender_address = state.own_record.address;
    result.config_version = state.own_record.config_version;
    result.peers.push_back(state.own_record);
    return result;
}

void send_packet(membership_state& state, packet&& content,
                 std::string const& address, std::uint64_t receiver,
                 actions& out)
{
    member const* const peer = find_peer(state, receiver);
    if (peer != nullptr && peer->record.state != peer_state::alive)
        content.peers.push_back(peer->record);
    piggyback_updates(state, content);
    out.to_peers.push_back({address, std::move(content)});
}

void push_updates(membership_state& state, int count, actions& out)
{
    std::vector<std::uint64_t> receivers;
    for (; count > 0; --count)
    {
        member const* const peer = random_live_peer(state);
        if (peer == nullptr ||
            std::ranges::find(receivers, peer->record.daemon.id) !=
                receivers.end())
            continue;
        receivers.push_back(peer->record.daemon.id);
        send_packet(
            state,
            make_packet(state, packet_kind::ping, state.next_packet_number++),
            peer->record.address, peer->record.daemon.id, out);
    }
}

} // namespace gooseberrycove::members
