#ifndef GOOSEBERRYCOVE_MEMBERS_PEERS_HPP
#define GOOSEBERRYCOVE_MEMBERS_PEERS_HPP

#include "members/state.hpp"

#include <string_view>

namespace gooseberrycove::members
{

/// Alive or suspect.
bool is_live(peer_record const& record);

member* find_peer(membership_state& state, std::uint64_t id);
member const* find_peer(membership_state const& state, std::uint64_t id);

/// Also finds this daemon's own record.
peer_record const* find_record(membership_state const& state, std::uint64_t id);

/// Whether that incarnation of the daemon is this process, or a peer that is
/// alive or suspect.
bool is_home_live(membership_state const& state, daemon_ref home);

/// Whether the home has left or restarted under a higher incarnation. False
/// for a dead home, because it may return.
bool has_home_left(membership_state const& state, daemon_ref home);

/// False for a home that did not reply to two direct probes of this daemon in
/// a row.
bool is_home_usable(membership_state const& state, daemon_ref home);

/// Number of live peers, without this daemon.
std::size_t live_peer_count(membership_state const& state);

/// Returns a random live peer, nullptr when there is none.
member const* random_live_peer(membership_state& state);

/// How a peer record was received.
enum class record_source
{
    owner, ///< from the daemon that the record describes
    gossip,
    sync
};

/// Merges a received record of a peer. The higher incarnation wins, then
/// leaving, then the higher refutation, then alive < suspect < dead. A record
/// of this daemon is refuted when it is suspect or dead.
void merge_peer(membership_state& state, peer_record const& record,
                record_source source, time_point now, actions& out);

/// Marks a suspect or dead peer alive after a message from it or an ack of an
/// indirect probe.
void confirm_alive(membership_state& state, daemon_ref daemon, time_point now,
                   actions& out);

/// Changes the state of a peer and queues the change for gossip.
void set_peer_state(membership_state& state, member& peer, peer_state value,
                    time_point now, actions& out);

/// Moves the next synchronisation forward after a peer has returned. The
/// spacing grows with the number of peers, because thousands of peers may
/// return together.
void schedule_early_sync(membership_state& state, time_point now);

/// Marks suspects dead after suspicion_time(), and removes peers that have been
/// dead or leaving for longer than their expiry.
void expire_peers(membership_state& state, time_point now, actions& out);

/// Time that a suspect has for a refutation before it is marked dead.
duration suspicion_time(membership_state const& state);

/// Sends the list of live daemons to claims and config after a change.
void flush_live_daemons(membership_state& state, time_point now, actions& out);

} // namespace gooseberrycove::members

#endif
