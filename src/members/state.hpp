#ifndef GOOSEBERRYCOVE_MEMBERS_STATE_HPP
#define GOOSEBERRYCOVE_MEMBERS_STATE_HPP

#include "members/name_pool.hpp"
#include <gooseberrycove/config.hpp>
#include <gooseberrycove/event.hpp>
#include <gooseberrycove/health.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/store.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrycove::members
{

/// Times and limits of the membership protocol.
struct protocol_parameters
{
    duration ping_period{1'000'000};
    /// Indirect probes start when no ack has arrived within this time.
    duration ping_timeout{300'000};
    /// The target becomes suspect when neither a direct nor an indirect ack has
    /// arrived within this time.
    duration probe_timeout{1'000'000};
    /// Lower limit of suspicion_time().
    duration min_suspicion_time{5'000'000};
    /// Entries of a home that is not live leave the directory after this time.
    duration orphan_expiry{30'000'000};
    /// Entries of removed servers and records of peers that left are kept for
    /// this time, so that delayed gossip does not list them again.
    duration gone_expiry{60'000'000};
    /// Dead peers are probed for this time, because a partition between regions
    /// may last an hour and the regions must find each other afterwards.
    duration dead_expiry{7'200'000'000};
    duration dead_probe_period{2'000'000};
    duration recheck_period{500'000};
    /// Minimum time between packets that are sent only to spread updates.
    duration update_period{200'000};
    duration default_lease{6'000'000};
    duration min_lease{1'000'000};
    duration max_lease{30'000'000};
    duration status_period{1'000'000};
    duration sync_period{60'000'000};
    duration rendezvous_period{300'000'000};
    /// A longer time between ticks means that this process was paused.
    duration pause_threshold{2'000'000};
    std::size_t max_packet_bytes = 1200;
    /// Budgets in sent bytes per second by the size estimate. Received traffic
    /// is about the same, and both together stay under the 20 KB/s of the
    /// target.
    double status_budget_bytes_per_s = 4500;
    double gossip_budget_bytes_per_s = 3600;
    /// Server records in one sync message; 2,000 keep a frame near 200 KB.
    std::size_t max_sync_servers = 2000;
    std::size_t max_updates = 2048;
};

/// A peer in the member list.
struct member
{
    peer_record record;
    /// Time of the last message from the peer itself or of the last ack of an
    /// indirect probe.
    time_point last_seen;
    /// Start of the present state.
    time_point state_since;
    /// Consecutive direct probes without an ack. From 2 on this daemon does not
    /// use the peer as a home; other daemons are not informed.
    std::uint8_t unanswered_probes = 0;
};

/// A ping that awaits its ack.
struct probe
{
    std::uint64_t number = 0;
    daemon_ref target;
    std::string address;
    time_point sent_at;
    bool has_sent_indirect = false;
};

/// A ping sent on behalf of another daemon.
struct relayed_probe
{
    std::uint64_t number = 0;
    std::uint64_t original_number = 0;
    std::string requester_address;
    time_point sent_at;
};

/// Directory entry of one backend server.
struct server_entry
{
    daemon_ref home;
    announcement_number announced;
    std::uint64_t sequence = 0;
    std::uint64_t status_sequence = 0;
    /// Start of the time without a live home, or of the state gone; else the
    /// time of the last change.
    time_point unavailable_since;
    /// When the load was reported; the clock's zero before the first report.
    time_point load_at;
    float score = 0;
    std::uint32_t service_id = no_name;
    std::uint32_t slots = 0;
    std::uint16_t in_flight = 0;
    std::uint16_t queued = 0;
    server_state state = server_state::gone;
    health_state health = health_state::healthy;
    /// Whether the home was live, and usable from this daemon, at the last
    /// change or sweep.
    bool is_home_live = false;
    bool is_home_usable = false;
    bool is_used = false;
};

/// All backend servers of the fleet. The position of an entry is the id of its
/// server's name; `by_service` has the positions by service id.
struct directory
{
    name_pool server_names;
    name_pool service_names;
    std::vector<server_entry> entries;
    std::vector<std::vector<std::uint32_t>> by_service;
    std::size_t used_entries = 0;
};

/// XOR of the hashes of the live peers and servers that a daemon lists, in
/// total and by bucket. Buckets are compared so that a synchronisation sends
/// only the differences.
struct digest
{
    static constexpr std::size_t bucket_count = 4096;
    std::uint64_t total = 0;
    std::vector<std::uint32_t> buckets =
        std::vector<std::uint32_t>(bucket_count);
};

enum class subject_kind : std::uint8_t
{
    peer,
    server
};

/// A change of a peer or server that is piggybacked on packets until it has
/// been sent transmit_limit() times.
struct pending_update
{
    subject_kind kind = subject_kind::peer;
    /// Daemon id or position of the directory entry.
    std::uint64_t key = 0;
    std::uint32_t transmissions = 0;
};

/// A backend server whose home is this daemon.
struct homed_server_state
{
    announcement details;
    server_status status;
    time_point lease_until;
    /// This start of the server said in an answer that it leaves; its
    /// announcements may still say that it serves.
    bool is_leaving = false;
    /// The status is to be sent to the other homes of the service.
    bool is_status_due = false;
    time_point next_status;
};

/// The last announcement by which a backend server stopped taking work: it
/// drains or has departed.
struct withdrawal
{
    announcement_number number;
    server_state state = server_state::draining;
    /// Home that received the announcement.
    daemon_ref home{};
    time_point recorded_at{};
};

/// Numbers of the store requests of this duty.
inline constexpr std::uint64_t scan_rendezvous_number = 1;
inline constexpr std::uint64_t write_rendezvous_number = 2;
inline constexpr std::uint64_t read_withdrawals_number = 3;
inline constexpr std::uint64_t write_withdrawals_number = 4;
inline constexpr std::uint64_t scan_withdrawals_number = 5;
inline constexpr std::uint64_t delete_withdrawals_number = 6;

/// An acknowledgement of a withdrawal that waits for the store.
struct pending_acknowledgement
{
    std::string server;
    /// stored_withdrawals_state::last_change at the withdrawal.
    std::uint64_t change = 0;
    time_point deadline;
    std::function<void()> reply;
};

/// The row of the store that keeps what this home has acknowledged for its next
/// run. Peers keep it too, but all daemons may end at the same time.
struct stored_withdrawals_state
{
    /// Version of the row, 0 for an absent one; unknown before the first read
    /// and after a write without a reply.
    std::optional<std::uint64_t> version;
    /// This run has read the row.
    bool is_loaded = false;
    bool is_call_pending = false;
    time_point call_deadline;
    time_point next_call;
    /// Changes are numbered; the row holds those up to `stored_change`, and the
    /// pending write those up to `sent_change`.
    std::uint64_t last_change = 0;
    std::uint64_t sent_change = 0;
    std::uint64_t stored_change = 0;
    std::vector<pending_acknowledgement> acknowledgements;
    /// Servers homed here that an operator has drained or undrained.
    std::set<std::string, std::less<>> drained_servers;
    /// Next deletion of rows that other homes left behind.
    time_point next_cleanup;
};

/// A serving announcement that may have been sent before a withdrawal which
/// this run does not know.
struct held_announcement
{
    /// The latest one that was held of this start of the server.
    announcement details;
    time_point first_received_at;
    time_point last_received_at;
};

/// A daemon that requested the present statuses of a service.
struct status_requester
{
    daemon_ref daemon;
    std::string service;
    /// Number of statuses that are still to be sent to the requester.
    std::size_t remaining_statuses = 0;
    time_point requested_at;
};

struct membership_state
{
    protocol_parameters parameters;
    peer_record own_record;
    std::vector<std::string> seeds;
    std::mt19937_64 random;

    std::vector<member> peers;
    std::unordered_map<std::uint64_t, std::uint32_t> peer_index;
    std::vector<std::uint64_t> probe_order;
    std::vector<probe> probes;
    std::vector<relayed_probe> relayed_probes;
    std::vector<std::uint64_t> peers_to_recheck;
    std::uint64_t next_packet_number = 1;

    directory servers;
    digest local_digest;
    std::vector<pending_update> updates;
    std::vector<homed_server_state> homed_servers;
    /// Recent withdrawals by server, to reject delayed announcements. Those at
    /// other homes are kept too: a home that restarts has lost its own.
    std::map<std::string, withdrawal, std::less<>> withdrawals;
    stored_withdrawals_state stored;
    std::vector<held_announcement> held_announcements;
    std::vector<status_requester> status_requesters;
    /// server_record::drain_changes of each server that an operator has
    /// drained, at any home; kept when a lease lapses.
    std::map<std::string, std::uint32_t, std::less<>> drain_changes;
    /// Last sequence of a directory record of this home.
    std::uint64_t record_sequence = 0;
    /// Unix time at `started`, in milliseconds. Record sequences are at least
    /// the Unix time, so that a new home that has not received the old home's
    /// sequence still exceeds it.
    std::uint64_t unix_start_ms = 0;
    time_point started;
    std::uint64_t status_sequence = 0;
    std::vector<std::string> rendezvous_addresses;
    store::era_position rendezvous_era;
    /// This run of the daemon has written a rendezvous row.
    bool has_rendezvous_row = false;
    /// The store was restored from a copy, so the row may be gone.
    bool must_check_rendezvous = false;

    time_point last_tick;
    time_point next_ping;
    time_point next_dead_probe;
    time_point next_recheck;
    time_point next_update_push;
    time_point next_sync;
    time_point last_sync;
    time_point next_join;
    time_point next_rendezvous;
    time_point last_sweep;
    time_point next_load_views;
    time_point next_live_daemons;
    /// Bytes of gossip sent, decayed with a time constant of 10 s.
    double recent_gossip_bytes = 0;
    bool has_joined = false;
    /// A synchronisation has brought records of further daemons.
    bool has_peer_records = false;
    bool should_write_rendezvous = false;
    bool needs_sweep = false;
    bool has_liveness_changed = true;
    std::vector<std::uint32_t> changed_services;
    std::vector<std::uint32_t> load_changed_services;
};

/// Messages and log lines that the thread sends after a decision.
struct actions
{
    std::vector<peer::outgoing> to_peers;
    std::vector<service_view_ptr> views;
    std::vector<homed_server> homed_changes;
    std::vector<health::sibling_report> sibling_reports;
    std::vector<health::report_request> report_requests;
    std::vector<config::peer_version> peer_versions;
    std::optional<config::live_peers> live_peers;
    std::optional<live_daemons> daemons;
    std::optional<account_limit::fleet> fleet;
    /// The thread sets `deliver`.
    std::vector<store::request> store_requests;
    std::vector<std::function<void()>> replies;
    std::vector<event_line> log;
};

/// Returns the state of a daemon without peers. \p seeds are the peer addresses
/// that it contacts first, \p seed is the seed of its random choices.
membership_state make_state(peer_record const& own_record,
                            std::vector<std::string> seeds, std::uint64_t seed,
                            time_point now);

/// Unix time in milliseconds at \p now, by the time of day at the start.
std::uint64_t unix_ms_at(membership_state const& state, time_point now);

void on_announce_request(membership_state& state,
                         announce_request const& request, time_point now,
                         actions& out);
void on_packet(membership_state& state, packet const& received, time_point now,
               actions& out);
void on_sync(membership_state& state, sync const& received, time_point now,
             actions& out);
void on_status_update(membership_state& state,
                      health::status_update const& update, time_point now,
                      actions& out);
void on_server_load(membership_state& state, server_load const& load,
                    time_point now, actions& out);
void on_active_config_version(membership_state& state,
                              active_config_version const& active,
                              time_point now, actions& out);
void on_list_request(membership_state& state, list_request const& request,
                     time_point now, actions& out);
void on_drain_request(membership_state& state, drain_request const& request,
                      time_point now, actions& out);
void on_store_reply(membership_state& state, store::reply const& reply,
                    time_point now, actions& out);
void on_leave(membership_state& state, leave const& request, time_point now,
              actions& out);

/// Runs every timer that is due. Returns the time of the next call.
time_point on_tick(membership_state& state, time_point now, actions& out);

} // namespace gooseberrycove::members

#endif
