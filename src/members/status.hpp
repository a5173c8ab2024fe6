#ifndef GOOSEBERRYCOVE_MEMBERS_STATUS_HPP
#define GOOSEBERRYCOVE_MEMBERS_STATUS_HPP

#include "members/state.hpp"

#include <span>
#include <string_view>

namespace gooseberrycove::members
{

/// Applies statuses received from \p home; those of servers with another home
/// are ignored.
void apply_statuses(membership_state& state,
                    std::span<server_status const> statuses, daemon_ref home,
                    time_point now, actions& out);

/// Records the sender as a requester of the statuses of its services and
/// requests fresh reports from health. on_status_update() sends the reply.
void handle_status_request(membership_state& state, packet const& request,
                           time_point now, actions& out);

/// Sends the statuses that are due to the other homes of their services.
void send_due_statuses(membership_state& state, time_point now, actions& out);

/// Sends the status of one homed server of the service to the service's other
/// homes at once and requests theirs.
void request_statuses(membership_state& state, std::string_view service,
                      actions& out);

} // namespace gooseberrycove::members

#endif
