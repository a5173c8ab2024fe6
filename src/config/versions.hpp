#ifndef GOOSEBERRYCOVE_CONFIG_VERSIONS_HPP
#define GOOSEBERRYCOVE_CONFIG_VERSIONS_HPP

#include "config/state.hpp"

#include <string_view>

namespace gooseberrycove::config
{

// Handlers of the duty's messages. Each takes the present time and appends to
// the actions.

void on_patch(state& duty, patch_request const& request, time_point now,
              actions& out);
void on_history(state& duty, history_request const& request, time_point now,
                actions& out);
void on_peer_version(state& duty, peer_version const& report, time_point now,
                     actions& out);
void on_live_peers(state& duty, live_peers const& peers, time_point now,
                   actions& out);
void on_pull(state& duty, pull const& request, time_point now, actions& out);
void on_deltas(state& duty, deltas const& received, time_point now,
               actions& out);
void on_store_reply(state& duty, store::reply const& reply, time_point now,
                    actions& out);

/// Starts polls and retries, and abandons overdue calls and commits.
/// \return time by which it must run again
time_point on_tick(state& duty, time_point now, actions& out);

// Steps shared by the handlers.

/// Adds a call to the store and returns its number.
std::uint64_t add_call(state& duty, call_purpose purpose, store::operation op,
                       time_point now, actions& out);

/// Returns the next number of a SplitMix64 generator.
std::uint64_t next_random(state& duty);

/// Puts the next version into force. Returns false, and changes nothing, when
/// \p next is not the successor of the version in force or cannot be applied.
bool apply_delta(state& duty, delta const& next, actions& out);

/// Must be called after the version in force has increased: sends it to peers,
/// resolves the commit in progress and updates the readiness.
void on_version_increase(state& duty, time_point now, actions& out);

/// Sends \p content to at most \p count random peers.
void send_to_random_peers(state& duty, peer::payload const& content,
                          std::size_t count, actions& out);

/// Whether no newer version is known and the store or a peer has confirmed the
/// version in force lately.
bool is_current(state const& duty, time_point now);

void update_readiness(state& duty, actions& out);

/// Records row config/head as returned by the store.
void record_head(state& duty, store::row const& row, actions& out);

/// Starts reading missing versions from the store unless a read is in progress.
void start_fetch(state& duty, time_point now, actions& out);
void on_scan_reply(state& duty, store::reply const& reply, time_point now,
                   actions& out);
void on_snapshot_reply(state& duty, store::reply const& reply, time_point now,
                       actions& out);

/// Starts the next queued patch when none is being committed.
void start_next_patch(state& duty, time_point now, actions& out);
/// Responds to the patch in progress when the history determines its result.
void resolve_from_history(state& duty, time_point now, actions& out);
void on_head_for_commit(state& duty, store::reply const& reply, time_point now,
                        actions& out);
void on_write_reply(state& duty, store::reply const& reply, time_point now,
                    actions& out);
/// Ends the patch in progress. Its condition is no longer valid, because a
/// restored store assigns versions again.
void stop_commit_of_earlier_era(state& duty, time_point now, actions& out);
void tick_commit(state& duty, time_point now, actions& out);

} // namespace gooseberrycove::config

#endif
