#ifndef GOOSEBERRYCOVE_MEMBERS_GOSSIP_HPP
#define GOOSEBERRYCOVE_MEMBERS_GOSSIP_HPP

#include "members/state.hpp"

namespace gooseberrycove::members
{

/// Encoded size by rule: fixed fields at their largest compact encoding, plus
/// the text. The encoding itself is not known here.
std::size_t estimate_size(peer_record const& record);
std::size_t estimate_size(server_record const& record);
std::size_t estimate_size(server_status const& status);

/// Frame, header and authentication code of a datagram.
inline constexpr std::size_t packet_overhead = 160;

/// Queues a change for piggybacking; a queued older change of the same subject
/// is replaced.
void add_update(state& s, subject what, std::uint64_t key);

/// How often each update is sent: 3 * log2(n).
std::uint32_t send_count(state const& s);

/// A packet with this daemon's own record first.
packet make_packet(state const& s, packet_kind kind, std::uint64_t number);

/// Fills a packet with updates up to the size limit and sends it. A receiver
/// that is not alive here is told so first, so that it can refute.
void send_packet(state& s, packet&& what, std::string const& address,
                 std::uint64_t receiver, actions& out);

/// Sends the updates to up to \p count random live peers without waiting for
/// the next ping.
void push_news(state& s, int count, actions& out);

} // namespace gooseberrycove::members

#endif
