#ifndef GOOSEBERRYCOVE_MEMBERS_STATUS_HPP
#define GOOSEBERRYCOVE_MEMBERS_STATUS_HPP

#include "members/state.hpp"

#include <span>
#include <string_view>

namespace gooseberrycove::members
{

/// Applies statuses that their home sent.
void apply_statuses(state& s, std::span<server_status const> statuses,
                    daemon_ref home, time_point now, actions& out);

/// Answers a request for statuses with those of the same services.
void answer_statuses(state& s, packet const& what, time_point now,
                     actions& out);

/// Sends the statuses of all servers homed here to the other homes of their
/// services when the period has passed.
void run_statuses(state& s, time_point now, actions& out);

/// Sends the statuses of one service at once and asks for those of the others.
void request_statuses(state& s, std::string_view service, actions& out);

} // namespace gooseberrycove::members

#endif
