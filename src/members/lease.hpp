#ifndef GOOSEBERRYCOVE_MEMBERS_LEASE_HPP
#define GOOSEBERRYCOVE_MEMBERS_LEASE_HPP

#include "members/state.hpp"

#include <string_view>

namespace gooseberrycove::members
{

/// Returns nullptr when this daemon is not the home of the server.
homed* find_homed(state& s, std::string_view server);

/// server_record::drain_changes as this daemon knows it.
std::uint32_t drains_of(state const& s, std::string_view server);

/// Takes over a later drain or undrain of a server from another daemon.
void learn_drains(state& s, server_record const& record, time_point now,
                  actions& out);

/// Writes the entry of a server homed here under a new sequence number and
/// spreads it. A server drained by the operator is published as draining.
void publish(state& s, homed const& here, time_point now);

/// Publishes that a server of this home is gone.
void publish_gone(state& s, std::string_view server, std::string_view service,
                  time_point now);

/// Stops being the home of a server without publishing anything.
void drop_homed(state& s, std::string_view server, std::string_view reason,
                actions& out);

/// Removes the servers whose lease has lapsed.
void expire_leases(state& s, time_point now, actions& out);

} // namespace gooseberrycove::members

#endif
