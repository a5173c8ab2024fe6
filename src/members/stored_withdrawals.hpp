#ifndef GOOSEBERRYCOVE_MEMBERS_STORED_WITHDRAWALS_HPP
#define GOOSEBERRYCOVE_MEMBERS_STORED_WITHDRAWALS_HPP

#include "members/state.hpp"

#include <functional>

namespace gooseberrycove::members
{

/// The withdrawals of this home and the operator's drains of its servers have
/// changed and must be written to the store.
void note_stored_change(membership_state& state);

/// Sends the acknowledgement of a withdrawal as soon as the store holds all
/// that this home has noted, and without the store after a time that leaves the
/// server's limit of one second for an acknowledgement unbroken.
void acknowledge_when_stored(membership_state& state, std::string_view server,
                             std::function<void()> reply, time_point now,
                             actions& out);

/// Reads the row of this home after the start, writes it after changes, and
/// sends the acknowledgements that are due.
void run_stored_withdrawals(membership_state& state, time_point now,
                            actions& out);

/// Handles the reply to a read or a write of the row.
/// \param is_usable  false when the reply shows rows of an earlier era
void on_stored_withdrawals_reply(membership_state& state,
                                 store::reply const& reply, bool is_usable,
                                 time_point now, actions& out);

/// Writes the row again after the store was restored from a copy, which may
/// have lost it.
void rewrite_stored_withdrawals(membership_state& state);

} // namespace gooseberrycove::members

#endif
