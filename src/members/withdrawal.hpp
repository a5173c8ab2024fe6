#ifndef GOOSEBERRYCOVE_MEMBERS_WITHDRAWAL_HPP
#define GOOSEBERRYCOVE_MEMBERS_WITHDRAWAL_HPP

#include "members/state.hpp"

#include <string_view>

namespace gooseberrycove::members
{

/// Expected maximum delay of an announcement in the network. A withdrawal is
/// kept for this time, to reject announcements sent before it.
inline constexpr duration max_announcement_delay = std::chrono::minutes(2);

/// Number of the announcements of a start that are taken without knowledge of
/// earlier ones.
inline constexpr std::uint64_t max_first_sequence = 2;

/// Records that the server takes no more work since an announcement. Returns
/// false when a later one is known.
bool note_withdrawal(membership_state& state, std::string_view server,
                     withdrawal const& noted, time_point now);

/// Whether the server made the announcement before the one by which it
/// withdrew. False when either of them names no start of the server.
bool is_before_withdrawal(membership_state const& state,
                          std::string_view server, announcement_number number,
                          time_point now);

/// Whether the announcement may have been sent before a departure that named no
/// start of the server.
bool may_precede_unnumbered_departure(membership_state const& state,
                                      announcement const& details,
                                      time_point now);

/// Applies the withdrawal that another daemon's record states, also to a server
/// homed here.
void merge_withdrawal(membership_state& state, server_record const& record,
                      time_point now, actions& out);

/// Sends the withdrawal of a server to a home that lists it as serving.
void correct_home(membership_state& state, server_record const& record,
                  actions& out);

/// Appends the withdrawals that earlier runs of the daemon received. A
/// restarted home has no other source of them.
void append_withdrawals(membership_state const& state, daemon_ref restarted,
                        sync& part);

void expire_withdrawals(membership_state& state, time_point now);

} // namespace gooseberrycove::members

#endif
