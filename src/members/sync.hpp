#ifndef GOOSEBERRYCOVE_MEMBERS_SYNC_HPP
#define GOOSEBERRYCOVE_MEMBERS_SYNC_HPP

#include "members/state.hpp"

#include <string_view>

namespace gooseberrycove::members
{

/// Sends this daemon's digest to the daemon at \p address, which replies with
/// the entries that differ.
void start_sync(membership_state& state, std::string_view address,
                actions& out);

/// Contacts seeds and rendezvous addresses until one has replied and a peer is
/// live; afterwards compares digests with a random peer once a period.
void run_sync(membership_state& state, time_point now, actions& out);

/// Reads the rows soon when the store was restored from a copy since the last
/// reply and this daemon had written a row.
void check_rendezvous_era(membership_state& state, std::uint64_t store_era,
                          time_point now);

/// Reads the rendezvous rows of the table service when due, and decides at
/// random whether to write this daemon's address to one of them.
void run_rendezvous(membership_state& state, time_point now, actions& out);

} // namespace gooseberrycove::members

#endif
