#ifndef GOOSEBERRYCOVE_MEMBERS_GOSSIP_HPP
#define GOOSEBERRYCOVE_MEMBERS_GOSSIP_HPP

#include "members/state.hpp"

namespace gooseberrycove::members
{

/// Upper estimate of the encoded size in bytes: the fixed fields at their
/// largest compact encoding plus the texts. The encoding itself is part of
/// wire.
std::size_t estimate_size(peer_record const& record);
std::size_t estimate_size(server_record const& record);
std::size_t estimate_size(server_status const& status);
std::size_t estimate_size(packet const& content);

/// Frame, header and message authentication code of a datagram.
inline constexpr std::size_t packet_overhead_bytes = 160;

/// Queues a change of the peer or server \p key for piggybacking. A queued
/// older change of it is replaced; when the queue is full, the change that was
/// sent most often is dropped.
void add_update(membership_state& state, subject_kind kind, std::uint64_t key);

/// Number of packets that carry each update: 3 * log2(n) for n daemons.
std::uint32_t transmit_limit(membership_state const& state);

/// A packet with this daemon's own record first.
packet make_packet(membership_state const& state, packet_kind kind,
                   std::uint64_t number);

/// Fills a packet with updates up to the size limit and sends it. When the
/// receiver is not alive in the peer list, its record goes first, so that it
/// can refute. \p receiver is a daemon id, 0 when only the address is given.
void send_packet(membership_state& state, packet&& content,
                 std::string const& address, std::uint64_t receiver,
                 actions& out);

/// Sends pings with the queued updates to up to \p count random live peers at
/// once, without waiting for the next probe.
void push_updates(membership_state& state, int count, actions& out);

} // namespace gooseberrycove::members

#endif
