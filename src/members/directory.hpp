#ifndef GOOSEBERRYCOVE_MEMBERS_DIRECTORY_HPP
#define GOOSEBERRYCOVE_MEMBERS_DIRECTORY_HPP

#include "members/state.hpp"

#include <string_view>

namespace gooseberrycove::members
{

/// Returns nullptr when the directory has no entry of that name.
server_entry* find_entry(state& s, std::string_view server);

server_record make_record(state const& s, std::uint32_t id);

/// Whether \p left was written after \p right. For one home the order is
/// (home incarnation, sequence). Incarnations of different homes cannot be
/// compared, so between homes the sequence decides: a home that takes over a
/// server uses a sequence above the one it sees.
bool later(daemon_ref left_home, std::uint64_t left_sequence,
           daemon_ref right_home, std::uint64_t right_sequence);

/// Writes a record whatever the entry held before. Returns its id.
std::uint32_t write_entry(state& s, server_record const& record,
                          time_point now);

/// Applies a record from another daemon. Returns whether it was news.
bool apply_server(state& s, server_record const& record, bool spread,
                  time_point now, actions& out);

/// Brings the entries in line with the liveness of their homes: updates the
/// digest, marks the changed services and removes what has expired.
void sweep(state& s, time_point now);

void mark_changed(state& s, std::uint32_t service);
void mark_loaded(state& s, std::uint32_t service);

/// Sends the views of services that changed, and at most every 100 ms those
/// whose load alone changed.
void flush_views(state& s, time_point now, actions& out);

/// Adds or removes a peer in the digest.
void toggle_listed(state& s, peer_record const& record);

std::size_t bucket_of(std::uint64_t hash);
std::uint64_t peer_hash(std::uint64_t id);

} // namespace gooseberrycove::members

#endif
