#ifndef GOOSEBERRYCOVE_MEMBERS_HPP
#define GOOSEBERRYCOVE_MEMBERS_HPP

#include <gooseberrycove/health.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/store.hpp>
#include <gooseberrycove/types.hpp>
#include <gooseberrycove/work.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace gooseberrycove::members
{

enum class peer_state : std::uint8_t
{
    alive,
    suspect,
    dead,
    leaving
};

struct peer_record
{
    daemon_ref daemon;
    std::string name;
    std::string data_centre;
    /// `ip:port` of the peer port, TCP and UDP.
    std::string address;
    /// `ip:port` of the administration port.
    std::string admin_address;
    peer_state state = peer_state::alive;
    /// Increased by the daemon itself to refute a suspicion.
    std::uint64_t refutation = 0;
    std::uint64_t config_version = 0;
};

enum class server_state : std::uint8_t
{
    serving,
    draining,
    gone
};

/// Position of an announcement in the order in which its server made them.
struct announcement_number
{
    /// Start of the server; 0 when unknown.
    std::uint64_t incarnation = 0;
    /// Announcement since the start.
    std::uint64_t sequence = 0;

    bool operator==(announcement_number const&) const = default;
    bool operator<(announcement_number const& other) const
    {
        return std::tie(incarnation, sequence) <
               std::tie(other.incarnation, other.sequence);
    }
};

/// Sequence of a departure, which follows all announcements of the start.
inline constexpr std::uint64_t departure_sequence =
    std::numeric_limits<std::uint64_t>::max();

/// Directory entry of one backend server, owned by its home.
struct server_record
{
    std::string server;
    std::string service;
    std::uint32_t slots = 0;
    server_state state = server_state::serving;
    health_state health = health_state::healthy;
    double score = 0;
    daemon_ref home;
    /// Increases with each change by the same home incarnation.
    std::uint64_t sequence = 0;
    /// Number of times that the operator drained or undrained the server; an
    /// odd number means drained. Kept when the server moves to another home,
    /// where the higher number wins.
    std::uint32_t drain_changes = 0;
    /// Announcement that the state comes from; unknown for a lapsed lease.
    announcement_number announced;
};

/// Announcement of a backend server to its home.
struct announcement
{
    std::string server;
    std::string service;
    /// `ip:port` at which the backend server accepts requests.
    std::string address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 0;
    /// Increases with each start of the server.
    std::uint64_t incarnation = 0;
    /// Increases with each announcement since the start; 0 when the server
    /// does not number its announcements.
    std::uint64_t sequence = 0;
    server_state state = server_state::serving;
    /// Time after the start in which the server is expected to be slow.
    duration warmup{0};
    duration lease{0};
    /// Share of slots in use, 0 to 1, as reported by the server; weak evidence.
    double load = 0;
};

/// Datagram between daemons.
enum class packet_kind : std::uint8_t
{
    ping,
    ack,
    ping_request,
    status
};

struct packet
{
    packet_kind kind = packet_kind::ping;
    daemon_ref sender;
    std::string sender_address;
    /// An ack carries the number of its ping. A status packet with a number
    /// other than 0 requests the receiver's statuses of the same services.
    std::uint64_t number = 0;
    /// Target of an indirect probe.
    std::string probe_address;
    std::uint64_t config_version = 0;
    std::vector<peer_record> peers;
    std::vector<server_record> servers;
    std::vector<server_status> statuses;
};

/// Full exchange over a stream, on join and after a digest mismatch. A message
/// with requests_reply and no record except the sender's own only compares
/// digests.
struct sync
{
    daemon_ref sender;
    std::string sender_address;
    bool requests_reply = false;
    std::uint64_t digest = 0;
    /// Digest of each bucket, so that only buckets that differ are exchanged.
    /// Empty in a small fleet, where all records are sent.
    std::vector<std::uint32_t> buckets;
    std::vector<peer_record> peers;
    std::vector<server_record> servers;
};

/// One backend server that routing may choose.
struct candidate
{
    std::string server;
    std::uint32_t slots = 0;
    server_state state = server_state::serving;
    health_state health = health_state::healthy;
    double score = 0;
    daemon_ref home;
    std::string home_address;
    std::string home_data_centre;
    bool is_home_alive = true;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    /// When the home reported this load; unset before its first report.
    std::optional<time_point> load_at;
};

/// Candidates of one service; sent whenever one of them changes.
struct service_view
{
    std::string service;
    std::vector<candidate> candidates;
};

using service_view_ptr = std::shared_ptr<service_view const>;

/// Announcement of a backend server, received over HTTP.
struct announce_request
{
    announcement details;
    /// Called with the granted lease.
    std::function<void(duration lease)> deliver;
};

/// Load of a server homed here, from admission.
struct server_load
{
    std::string server;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    /// The start of the server with this incarnation says in its answers that
    /// it leaves.
    bool is_leaving = false;
    std::uint64_t incarnation = 0;
};

/// The configuration version in force in this process.
struct active_config_version
{
    std::uint64_t version = 0;
    /// Newest era of the store that this process has seen.
    std::uint64_t store_era = 0;
};

struct listing
{
    std::vector<peer_record> peers;
    std::vector<server_record> servers;
    std::vector<server_status> statuses;
};

struct list_request
{
    std::function<void(listing&&)> deliver;
};

/// The operator drains or undrains a server homed here.
struct drain_request
{
    std::string server;
    bool drain = true;
    /// Called with false when the server is not homed here.
    std::function<void(bool found)> deliver;
};

/// Notifies the peers that this daemon leaves.
struct leave
{
};

/// A server homed here was added, changed or left; for admission and health.
struct homed_server
{
    announcement details;
    bool is_gone = false;
};

/// Daemons that this daemon considers live; for claims.
struct live_daemons
{
    /// Daemons that are alive or suspect, in their current incarnation.
    std::vector<daemon_ref> daemons;
};

/// Messages that the members duty handles.
using message =
    std::variant<std::monostate, announce_request, packet, sync,
                 health::status_update, server_load, active_config_version,
                 list_request, drain_request, store::reply, leave>;
using inbox = ring<message>;

} // namespace gooseberrycove::members

#endif
