#ifndef GOOSEBERRYCOVE_MEMBERS_PROBE_HPP
#define GOOSEBERRYCOVE_MEMBERS_PROBE_HPP

#include "members/state.hpp"

namespace gooseberrycove::members
{

/// Answers a ping, relays an indirect probe, or settles a probe by its ack.
void on_ping(state& s, packet const& what, time_point now, actions& out);
void on_ping_request(state& s, packet const& what, time_point now,
                     actions& out);
void on_ack(state& s, packet const& what, time_point now, actions& out);

/// Starts the probes that are due and judges those without an answer.
void run_probes(state& s, time_point now, actions& out);

} // namespace gooseberrycove::members

#endif
