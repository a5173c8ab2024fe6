#ifndef GOOSEBERRYCOVE_MEMBERS_DIRECTORY_HPP
#define GOOSEBERRYCOVE_MEMBERS_DIRECTORY_HPP

#include "members/state.hpp"

#include <string_view>

namespace gooseberrycove::members
{

/// Returns nullptr when the directory has no entry of that name.
server_entry* find_entry(membership_state& state, std::string_view server);

server_record make_record(membership_state const& state, std::uint32_t id);

/// Whether the left record was written after the right one. For one home the
/// order is (home incarnation, sequence). Incarnations of different homes
/// cannot be compared, so between homes the sequence decides: a home that takes
/// over a server uses a sequence above the one in its directory.
bool is_later(daemon_ref left_home, std::uint64_t left_sequence,
              daemon_ref right_home, std::uint64_t right_sequence);

/// Overwrites the entry of the record's server, or adds it. Returns its id.
std::uint32_t write_entry(membership_state& state, server_record const& record,
                          time_point now);

/// Applies a record from another daemon when it is later than the entry, and
/// queues it for gossip when \p should_spread is set. Returns whether the
/// directory changed.
bool apply_server(membership_state& state, server_record const& record,
                  bool should_spread, time_point now, actions& out);

/// Applies changes in the liveness of homes to the entries and the digest,
/// marks the changed services and removes expired entries.
void sweep(membership_state& state, time_point now);

void mark_changed(membership_state& state, std::uint32_t service_id);
void mark_load_changed(membership_state& state, std::uint32_t service_id);

/// Sends the views of services that changed, and at most every 100 ms those
/// whose load alone changed.
void flush_views(membership_state& state, time_point now, actions& out);

/// Adds a live peer to the digest, or removes it when the digest holds it.
void toggle_in_digest(membership_state& state, peer_record const& record);

std::size_t bucket_of(std::uint64_t hash);
std::uint64_t peer_hash(std::uint64_t id);

} // namespace gooseberrycove::members

#endif
