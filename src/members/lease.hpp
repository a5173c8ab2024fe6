#ifndef GOOSEBERRYCOVE_MEMBERS_LEASE_HPP
#define GOOSEBERRYCOVE_MEMBERS_LEASE_HPP

#include "members/state.hpp"

#include <string_view>

namespace gooseberrycove::members
{

/// Returns nullptr when this daemon is not the home of the server.
homed_server_state* find_homed_server(membership_state& state,
                                      std::string_view server);

/// The highest server_record::drain_changes received for the server; 0 for a
/// server that was never drained.
std::uint32_t drain_changes_of(membership_state const& state,
                               std::string_view server);

/// Applies a later drain or undrain of a server from another daemon's record.
void merge_drain_changes(membership_state& state, server_record const& record,
                         time_point now, actions& out);

/// Writes the entry of a server homed here under a new sequence number and
/// queues it for gossip. A server drained by the operator is published as
/// draining.
void publish_entry(membership_state& state, homed_server_state const& homed,
                   time_point now);

/// Publishes that a server of this home is gone. Does nothing when the entry
/// names another home.
/// \param departed  see server_record::announced
void publish_gone(membership_state& state, std::string_view server,
                  std::string_view service, announcement_number departed,
                  time_point now);

/// The lease for an announcement that requests \p requested; 0 requests the
/// default.
duration granted_lease(membership_state const& state, duration requested);

announcement_number number_of(announcement const& details);

/// Drains or removes a server homed here, which \p record states to have
/// withdrawn from another run of its home.
void withdraw_homed_server(membership_state& state, server_record const& record,
                           time_point now, actions& out);

/// Removes a server from the servers homed here and notifies admission. The
/// directory entry stays unchanged.
void drop_homed_server(membership_state& state, std::string_view server,
                       std::string_view reason, actions& out);

/// Publishes that the server leaves, although it announces that it serves.
void set_leaving(membership_state& state, homed_server_state& homed,
                 time_point now, actions& out);

/// Removes the servers whose lease has lapsed.
void expire_leases(membership_state& state, time_point now, actions& out);

} // namespace gooseberrycove::members

#endif
