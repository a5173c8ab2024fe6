#ifndef GOOSEBERRYCOVE_FAKE_SERVER_ANNOUNCE_HPP
#define GOOSEBERRYCOVE_FAKE_SERVER_ANNOUNCE_HPP

#include "evidence/history.hpp"
#include <gooseberrycove/ring.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::fake_server
{

/// Message to the announcing duty: the state that it announces.
struct server_state
{
    bool is_draining = false;
    /// Share of slots in use.
    double load = 0;
};

using announce_inbox = ring<server_state>;

struct announce_options
{
    std::string name;
    std::string service;
    std::string address;
    /// Administration ports of daemons, in the order of preference.
    std::vector<std::string> targets;
    std::string key;
    std::size_t slots = 1;
    std::size_t connections = 0;
    std::uint64_t incarnation = 0;
    duration lease{6'000'000};
};

/// Pause after every target has failed.
inline constexpr duration announce_retry_pause{250'000};

struct announce_state
{
    std::size_t target_count = 0;
    std::size_t current_target = 0;
    std::size_t failures = 0;
    std::optional<server_state> latest;
    bool drain_accepted = false;
    /// Time of the next announcement.
    time_point next_announcement = time_point::max();
};

void on_server_state(announce_state& state, server_state const& update,
                     time_point now);

/// Index of the target to announce to now, if an announcement is due.
std::optional<std::size_t> due_target(announce_state const& state,
                                      time_point now);

/// After a refusal or a lost connection the next target is tried at once, and
/// after a failure of every target only when announce_retry_pause is over.
/// The announcement is renewed after a third of the granted lease. Returns true
/// when a daemon has accepted the drain for the first time.
bool on_reply(announce_state& state, bool accepted, duration granted,
              time_point now);

/// Body of POST /announce.
std::string announcement_body(announce_options const& options,
                              server_state const& update);

/// Lease granted by the response to an announcement; nothing for other text.
std::optional<duration> granted_lease(std::string_view body);

/// Runs until \p inbox is closed. Records `draining` when a daemon has
/// accepted the drain, or at once when no target is configured.
void run_announcer(announce_inbox& inbox, announce_options const& options,
                   evidence::history_log& history);

} // namespace gooseberrycove::fake_server

#endif
