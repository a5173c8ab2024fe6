#ifndef GOOSEBERRYCOVE_MEMBERS_STATE_HPP
#define GOOSEBERRYCOVE_MEMBERS_STATE_HPP

#include "members/names.hpp"
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
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrycove::members
{

/// Times and limits of the membership protocol.
struct parameters
{
    duration ping_period{1'000'000};
    /// Indirect probes start after this wait for a direct answer.
    duration ping_timeout{300'000};
    duration probe_timeout{1'000'000};
    duration suspicion{5'000'000};
    /// Entries of a home that is not alive leave the directory after this.
    duration orphan_expiry{30'000'000};
    /// Removed servers are remembered, so that late gossip does not list them.
    duration gone_expiry{60'000'000};
    /// Dead peers are still probed for this long, because regions may lose
    /// each other for an hour and must find each other again.
    duration dead_expiry{7'200'000'000};
    duration dead_probe_period{2'000'000};
    duration recheck_period{500'000};
    /// Least time between packets that only spread news.
    duration news_period{200'000};
    duration default_lease{6'000'000};
    duration minimum_lease{1'000'000};
    duration maximum_lease{30'000'000};
    duration status_period{1'000'000};
    duration sync_period{60'000'000};
    duration rendezvous_period{300'000'000};
    /// A gap between ticks above this means that this process was paused.
    duration pause_gap{2'000'000};
    std::size_t packet_bytes = 1200;
    /// Sent bytes per second by the size estimate. Received traffic is about
    /// the same, and both together stay under the 20 KB/s of the target.
    double status_budget = 4500;
    double gossip_budget = 3600;
    /// Servers in one sync message; keeps a frame near 200 KB.
    std::size_t sync_servers = 2000;
    std::size_t max_updates = 2048;
};

struct member
{
    peer_record record;
    /// Last message from the peer itself or proof by an indirect probe.
    time_point heard;
    /// Start of the present state.
    time_point since;
    /// Direct probes without an answer in a row. At 2 the peer is skipped as a
    /// home by this daemon alone; this is never spread.
    std::uint8_t unanswered = 0;
};

/// A ping whose answer is awaited.
struct probe
{
    std::uint64_t number = 0;
    daemon_ref target;
    std::string address;
    time_point sent;
    bool indirect_sent = false;
};

/// A ping sent on behalf of another daemon.
struct relay
{
    std::uint64_t number = 0;
    std::uint64_t original = 0;
    std::string requester;
    time_point sent;
};

/// Directory entry; its position is the id of the server's name.
struct server_entry
{
    daemon_ref home;
    std::uint64_t sequence = 0;
    std::uint64_t status_sequence = 0;
    /// Start of the time without a live home, or of the state gone.
    time_point since;
    float score = 0;
    std::uint32_t service = no_name;
    std::uint32_t slots = 0;
    std::uint16_t in_flight = 0;
    std::uint16_t queued = 0;
    server_state state = server_state::gone;
    health_state health = health_state::healthy;
    /// Whether the home was alive, or usable from here, at the last sweep.
    bool home_live = false;
    bool home_usable = false;
    bool used = false;
};

/// All backend servers of the fleet.
struct directory
{
    name_pool names;
    name_pool services;
    std::vector<server_entry> entries;
    std::vector<std::vector<std::uint32_t>> by_service;
    std::size_t used = 0;
};

/// XOR of the hashes of what a daemon lists, whole and by bucket. Buckets are
/// compared so that a synchronisation sends only what differs.
struct digest
{
    static constexpr std::size_t bucket_count = 4096;
    std::uint64_t total = 0;
    std::vector<std::uint32_t> buckets =
        std::vector<std::uint32_t>(bucket_count);
};

enum class subject : std::uint8_t
{
    peer,
    server
};

/// A change that still has to be piggybacked.
struct update
{
    subject what = subject::peer;
    /// Daemon id or server entry.
    std::uint64_t key = 0;
    std::uint32_t sent = 0;
};

/// A backend server whose home is this daemon.
struct homed
{
    announcement what;
    server_status status;
    time_point lease_until;
    /// A verdict is to be sent to the homes of the service.
    bool due = false;
    time_point next_status;
};

/// A backend server that announced its end here.
struct departed
{
    std::string server;
    std::uint64_t incarnation = 0;
    time_point since;
};

/// A daemon that asked for the present statuses of a service.
struct status_asker
{
    daemon_ref daemon;
    std::string service;
    /// Verdicts that it still has to get.
    std::size_t left = 0;
    time_point since;
};

struct state
{
    parameters limits;
    peer_record self;
    std::vector<std::string> seeds;
    std::mt19937_64 random;

    std::vector<member> peers;
    std::unordered_map<std::uint64_t, std::uint32_t> peer_index;
    std::vector<std::uint64_t> probe_order;
    std::vector<probe> probes;
    std::vector<relay> relays;
    std::vector<std::uint64_t> recheck;
    std::uint64_t next_number = 1;

    directory servers;
    digest listed;
    std::vector<update> updates;
    std::vector<homed> homes;
    /// Announcements after which servers left, against late ones.
    std::vector<departed> departures;
    std::vector<status_asker> askers;
    /// server_record::drain_changes of each server that an operator has
    /// drained, at any home; kept when a lease lapses.
    std::map<std::string, std::uint32_t, std::less<>> drains;
    std::uint64_t sequence = 0;
    /// Unix time at `started`, in milliseconds. Sequences follow the time, so
    /// that a new home that has not seen the old one's sequence goes past it.
    std::uint64_t unix_start_ms = 0;
    time_point started;
    std::uint64_t status_sequence = 0;
    std::vector<std::string> rendezvous;

    time_point last_tick;
    time_point next_ping;
    time_point next_dead_probe;
    time_point next_recheck;
    time_point next_news;
    time_point next_sync;
    time_point last_sync;
    time_point next_join;
    time_point next_rendezvous;
    time_point last_sweep;
    time_point next_load_views;
    time_point next_live;
    /// Bytes of gossip sent, decaying with a time constant of 10 s.
    double gossip_bytes = 0;
    bool joined = false;
    bool rendezvous_writes = false;
    bool sweep_wanted = false;
    bool live_changed = true;
    std::vector<std::uint32_t> changed_services;
    std::vector<std::uint32_t> loaded_services;
};

/// What the thread must do after a decision.
struct actions
{
    std::vector<peer::outgoing> to_peers;
    std::vector<service_view_ptr> views;
    std::vector<homed_server> homed;
    std::vector<health::sibling_report> siblings;
    std::vector<health::report_request> report_requests;
    std::vector<config::peer_version> versions;
    std::optional<config::live_peers> live_peers;
    std::optional<live_daemons> daemons;
    /// The thread sets `deliver`.
    std::vector<store::request> store;
    std::vector<std::function<void()>> replies;
    std::vector<event_line> log;
};

/// A daemon without peers that knows only its seeds.
state make_state(peer_record const& self, std::vector<std::string> seeds,
                 std::uint64_t seed, time_point now);

void on_announced(state& s, announce_request const& what, time_point now,
                  actions& out);
void on_packet(state& s, packet const& what, time_point now, actions& out);
void on_sync(state& s, sync const& what, time_point now, actions& out);
void on_verdict(state& s, health::status_update const& what, time_point now,
                actions& out);
void on_server_load(state& s, server_load const& what, time_point now,
                    actions& out);
void on_own_version(state& s, active_config_version const& what, time_point now,
                    actions& out);
void on_list_request(state& s, list_request const& what, time_point now,
                     actions& out);
void on_drain_request(state& s, drain_request const& what, time_point now,
                      actions& out);
void on_store_reply(state& s, store::reply const& what, time_point now,
                    actions& out);
void on_leave(state& s, leave const& what, time_point now, actions& out);

/// Runs every timer that is due. Returns the time of the next call.
time_point on_tick(state& s, time_point now, actions& out);

} // namespace gooseberrycove::members

#endif
