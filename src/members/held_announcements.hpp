#ifndef GOOSEBERRYCOVE_MEMBERS_HELD_ANNOUNCEMENTS_HPP
#define GOOSEBERRYCOVE_MEMBERS_HELD_ANNOUNCEMENTS_HPP

#include "members/state.hpp"

namespace gooseberrycove::members
{

/// Whether the announcement must wait, because it may have been sent before a
/// withdrawal that an earlier run of this home acknowledged and this run has
/// not read yet. A held announcement is kept and taken when the row is read or
/// a peer lists this start of the server as serving. While the store is out, a
/// further announcement that comes some time later shows that the server still
/// announces itself; then this returns false.
bool hold_announcement(membership_state& state, announcement const& details,
                       time_point now, actions& out);

/// Takes the held announcements that need not wait any longer.
void release_announcements(membership_state& state, time_point now,
                           actions& out);

} // namespace gooseberrycove::members

#endif
