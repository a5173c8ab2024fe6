#ifndef GOOSEBERRYCOVE_MEMBERS_PEERS_HPP
#define GOOSEBERRYCOVE_MEMBERS_PEERS_HPP

#include "members/state.hpp"

#include <string_view>

namespace gooseberrycove::members
{

/// Alive or suspect.
bool is_live(peer_record const& record);

member* find_peer(state& s, std::uint64_t id);
member const* find_peer(state const& s, std::uint64_t id);

/// Also finds this daemon's own record.
peer_record const* find_record(state const& s, std::uint64_t id);

/// Whether that run of the daemon is this one, or a peer alive or suspect.
bool home_live(state const& s, daemon_ref home);

/// Whether the home is known to have left or to run again under a higher
/// incarnation. A dead home is no such case: it may come back.
bool home_left(state const& s, daemon_ref home);

/// False for a home that is leaving or that does not answer this daemon.
bool home_usable(state const& s, daemon_ref home);

/// Live peers, without this daemon.
std::size_t live_count(state const& s);

/// A live peer at random; nullptr when there is none.
member const* random_live(state& s);

/// Where a record came from.
enum class origin
{
    itself, ///< the daemon that the record describes
    gossip,
    sync
};

/// Merges what another daemon says about a peer. The higher incarnation wins,
/// then the higher refutation, then alive < suspect < dead < leaving.
void merge_peer(state& s, peer_record const& record, origin from,
                time_point now, actions& out);

/// The peer answered: it is alive whatever others say.
void confirm_alive(state& s, daemon_ref who, time_point now, actions& out);

/// Changes the state of a peer and spreads the change.
void set_peer_state(state& s, member& who, peer_state value, time_point now,
                    actions& out);

/// Synchronises soon, because a peer came back. Limited, because thousands of
/// peers may come back together.
void hasten_sync(state& s, time_point now);

/// Ends suspicions that ran out and forgets peers that are dead for long.
void expire_peers(state& s, time_point now, actions& out);

/// Time for which a suspect may refute.
duration suspicion_time(state const& s);

/// Tells claims and config which daemons live, when that changed.
void flush_live(state& s, time_point now, actions& out);

} // namespace gooseberrycove::members

#endif
