#ifndef GOOSEBERRYCOVE_CONFIG_STATE_HPP
#define GOOSEBERRYCOVE_CONFIG_STATE_HPP

#include "config/records.hpp"
#include <gooseberrycove/config.hpp>
#include <gooseberrycove/event.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/peer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrycove::config
{

/// Patches queued behind the one being committed.
inline constexpr std::size_t max_queued_patches = 64;

/// Limits of the patches kept for peers and for responses to stale patches.
inline constexpr std::size_t max_history_patches = 1024;
inline constexpr std::size_t max_history_bytes = 1 << 20;

/// Patches in one message or in the response to a stale patch.
inline constexpr std::size_t max_deltas = 100;

/// Peers to which a daemon sends a new version at once.
inline constexpr std::size_t push_fan_out = 4;

/// Reads of row config/head per second by all daemons together.
inline constexpr double fleet_polls_per_s = 200;

/// Longest time for which the store holds a watch of the document open. It is
/// long because each call to the store is charged for. An unresponsive
/// connection is detected only after this time; until then peers report newer
/// versions.
inline constexpr duration document_watch_time = std::chrono::seconds(25);

/// Delay from a peer's report of a newer version to the read of the document.
/// The watch usually returns within some milliseconds of a change, and the
/// read, which is charged for, is then not needed.
inline constexpr duration document_read_delay = std::chrono::milliseconds(200);

/// A call that still has no reply this long after its timeout counts as a call
/// with an unknown result. Longer than the timeout of every call except those
/// for snapshots and watches.
inline constexpr duration reply_grace_period = std::chrono::seconds(5);

/// Why a call to the store was made.
enum class call_purpose
{
    poll,
    read_head,    ///< before a commit
    write,        ///< the commit
    scan_patches, ///< patches that this daemon lacks
    get_snapshot,
    put_snapshot,
    read_history,
    restore_patches, ///< patches that the store lost
    read_document,   ///< of an operator who keeps it in the store
    watch_document
};

struct store_call
{
    std::uint64_t number = 0;
    call_purpose purpose = call_purpose::poll;
    time_point abandon_at;
};

/// Row config/head as last read. The condition of a commit needs the version
/// of the row together with the value read with it.
struct head_row
{
    bool is_read = false;
    std::uint64_t row_version = 0;
    head_record value;
};

enum class commit_step
{
    catch_up, ///< waits until the version in force reaches the head
    read_head,
    write,
    await_retry ///< a reply was lost; waits to send the same transaction again
};

/// The patch being committed.
struct commit_state
{
    patch_request request;
    commit_step step = commit_step::catch_up;
    /// Tables with the patch applied to version `request.base_version`.
    std::shared_ptr<table_data const> next_data;
    store::transaction transaction;
    std::uint64_t call_number = 0;
    /// A reply to the write was lost, so it may have taken effect.
    bool is_ambiguous = false;
    time_point deadline;
    time_point retry_at;
};

/// Reading of missing versions from the store.
struct fetch_state
{
    bool is_active = false;
    /// Snapshot being read, or 0 when patches are.
    std::uint64_t snapshot_version = 0;
    /// Snapshots tried that do not exist or cannot be used.
    int unusable_snapshots = 0;
    /// Earliest time of the next read; leaves a peer time to send the versions.
    time_point not_before;
    /// Version in force when a poll last sent a pull to a peer.
    std::optional<std::uint64_t> version_at_last_pull;
};

struct pending_history
{
    std::uint64_t call_number = 0;
    history_request request;
};

/// A snapshot that is not yet written.
struct pending_snapshot
{
    tables_ptr content;
    /// Number of the call that writes the snapshot, or 0.
    std::uint64_t call_number = 0;
    time_point retry_at;
};

struct state
{
    std::string own_address;
    /// The operator writes whole documents into the store. Otherwise patches
    /// are committed there by daemons.
    bool follows_document = false;
    /// Revision from which the document is watched, or 0 to read it.
    std::uint64_t document_revision = 0;
    unsigned document_failures = 0;
    /// Newest version that a peer has reported, and the time at which the
    /// document is read if the watch has not returned that version by then.
    std::uint64_t reported_version = 0;
    time_point document_read_at;
    /// State of next_random(), which chooses peers and generates patch ids. The
    /// seed must differ between all runs of all daemons.
    std::uint64_t random_state = 0;

    tables_ptr current = std::make_shared<tables const>();
    /// Errors of the entries of this version that cannot be used.
    std::size_t entry_errors = 0;
    config_counts counts;
    /// Patches up to the version in force, without gaps.
    std::deque<delta> history;
    std::size_t history_bytes = 0;

    std::vector<std::string> peers;
    /// Peers that reported their version, kept until this daemon is ready.
    /// Peers report it only when they are ready themselves.
    std::vector<std::string> reporting_peers;
    /// Highest version that the store or a peer has reported.
    std::uint64_t highest_seen_version = 0;

    store::era_position era;
    bool is_store_restored = false;
    /// No patch is committed before this time, so that the patches that a
    /// restored store lost are written again first.
    time_point commits_resume_at;

    head_row head;
    /// The last poll, or the last read or watch of the document, had no usable
    /// reply.
    bool has_poll_failed = false;
    bool is_ready = false;
    /// When a peer last reported the version in force.
    time_point confirmed_at;

    std::uint64_t last_call_number = 0;
    std::vector<store_call> calls;
    time_point next_poll;
    time_point next_pull;
    time_point next_snapshot_send;
    gooseberrycove::config::fetch_state fetch;
    std::vector<pending_history> pending_histories;
    std::optional<pending_snapshot> snapshot;

    std::optional<gooseberrycove::config::commit_state> commit;
    std::deque<patch_request> queued_patches;
};

struct patch_response
{
    patch_request request;
    patch_result result;
};

struct history_response
{
    history_request request;
    std::vector<delta> entries;
};

struct log_line
{
    bool is_warning = false;
    event_line line;
};

/// Effects of a decision that the thread carries out.
struct actions
{
    /// Calls to the store; the thread sets `deliver`.
    std::vector<store::request> calls;
    std::vector<peer::outgoing> sends;
    /// The version in force changed, or the daemon became ready.
    bool has_version_changed = false;
    std::vector<patch_response> patch_responses;
    std::vector<history_response> history_responses;
    std::vector<log_line> log;
};

} // namespace gooseberrycove::config

#endif
