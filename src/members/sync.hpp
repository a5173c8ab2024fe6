#ifndef GOOSEBERRYCOVE_MEMBERS_SYNC_HPP
#define GOOSEBERRYCOVE_MEMBERS_SYNC_HPP

#include "members/state.hpp"

#include <string_view>

namespace gooseberrycove::members
{

/// Sends this daemon's digest to another one, which answers with what differs.
void start_sync(state& s, std::string_view address, actions& out);

/// Joins through seeds and rendezvous rows while no peer is known; afterwards
/// compares digests with a random peer once a period.
void run_sync(state& s, time_point now, actions& out);

/// Reads, and now and then rewrites, the rendezvous rows.
void run_rendezvous(state& s, time_point now, actions& out);

} // namespace gooseberrycove::members

#endif
