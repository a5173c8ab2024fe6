#ifndef GOOSEBERRYCOVE_MEMBERS_PROBE_HPP
#define GOOSEBERRYCOVE_MEMBERS_PROBE_HPP

#include "members/state.hpp"

namespace gooseberrycove::members
{

/// Replies to a ping, relays an indirect probe, and ends a probe by its ack or
/// forwards the ack to the daemon that requested the relay.
void on_ping(membership_state& state, packet const& received, time_point now,
             actions& out);
void on_ping_request(membership_state& state, packet const& received,
                     time_point now, actions& out);
void on_ack(membership_state& state, packet const& received, time_point now,
            actions& out);

/// Starts the probes that are due. A probe without an ack leads to indirect
/// probes after `ping_timeout` and to a suspicion after `probe_timeout`.
void run_probes(membership_state& state, time_point now, actions& out);

} // namespace gooseberrycove::members

#endif
