#ifndef GOOSEBERRYCOVE_ACCOUNT_LIMIT_STATE_HPP
#define GOOSEBERRYCOVE_ACCOUNT_LIMIT_STATE_HPP

#include <gooseberrycove/account_limit.hpp>
#include <gooseberrycove/event.hpp>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace gooseberrycove::account_limit
{

/// Accounts are divided into this many groups, each with an owner. Every daemon
/// sends every owner a report per renewal, so more groups cost more messages,
/// and fewer put more load on one owner: with a group per account, reports took
/// a third of the processor time of VMs with a tenth of a core.
inline constexpr std::uint32_t group_count = 8;

/// Least time for which entitlements are delegated, from before the report is
/// sent; see lease_time().
inline constexpr duration min_lease_time = std::chrono::milliseconds(2000);
inline constexpr duration max_lease_time = std::chrono::seconds(20);
/// The owner ends a lease earlier by this much, against clocks that differ.
inline constexpr duration lease_margin = std::chrono::milliseconds(100);
/// A granted token is unused for at most this long after the report that asked
/// for it. Tokens spent in 5 s left the bucket in 5.3 s, so they exceed the
/// limit by 0.3 s of the rate, which is within the permitted tenth.
inline constexpr duration stock_time = std::chrono::milliseconds(300);
/// Demand that a daemon keeps tokens for.
inline constexpr duration stock_target = std::chrono::milliseconds(200);
inline constexpr duration report_interval = std::chrono::milliseconds(100);
/// An owner that is silent for this long gets no further lease.
inline constexpr duration owner_silence = std::chrono::milliseconds(600);
/// Interval of reports while requests wait.
inline constexpr duration urgent_interval = std::chrono::milliseconds(25);
/// Time for which a new owner of a group gathers entitlements.
inline constexpr duration gathering_time = std::chrono::milliseconds(150);
/// Time that a request waits for the owner.
inline constexpr duration max_wait = std::chrono::milliseconds(200);
/// A daemon that knows no peer uses its entitlement after this time.
inline constexpr duration alone_time = std::chrono::seconds(3);
/// A dead daemon counts as entitled for this long.
inline constexpr duration dead_time = std::chrono::seconds(60);
/// After this time, a smaller number of daemons told by peers replaces an
/// earlier one.
inline constexpr duration heard_time = std::chrono::seconds(10);
/// Part of the 20 permitted requests that daemons may keep because an
/// entitlement to less than one token could never be used.
inline constexpr double fraction_allowance = 15;

struct bucket
{
    double tokens = 0;
    time_point filled_at;
};

/// Entitlements of one daemon to the accounts of a group.
struct lease
{
    /// Daemons among which the sender divides each limit.
    std::uint32_t entitled = 1;
    time_point until;
};

/// A group owned by this daemon.
struct owned_group
{
    /// By daemon id, so that a new run of a daemon replaces its earlier lease.
    std::map<std::uint64_t, lease> leases;
    /// Integral of the delegated share of each limit over time.
    double share_seconds = 0;
    time_point summed_at;
    /// Increases with each change of the delegated shares.
    std::uint64_t version = 1;
    time_point changed_at;
    /// Until then, entitlements of other daemons are still expected, and a
    /// request that finds no token waits.
    time_point gathering_until;
};

/// An account owned by this daemon.
struct owned_account
{
    double tokens = 0;
    /// owned_group::share_seconds up to which the bucket is filled.
    double filled_share_seconds = 0;
    double rate = 0;
    double burst = 0;
    /// Size of the bucket, of the versions of the group and of the fleet.
    double size = 0;
    std::uint64_t size_group_version = 0;
    std::uint64_t size_fleet_version = 0;
    /// Tokens granted in the past window, in slices by their start.
    std::deque<std::pair<time_point, std::uint32_t>> granted;
    std::uint32_t granted_sum = 0;
};

/// What this daemon has delegated of a group.
struct delegation
{
    /// Owner as of limit_state::fleet_version.
    daemon_ref owner;
    std::uint64_t owner_version = 0;
    /// Holder of the last lease, which is open until `until`.
    daemon_ref holder;
    time_point until;
    time_point next_report;
    bool uses_own = false;
};

struct waiting_request
{
    request_id id;
    time_point until;
};

struct stocked_tokens
{
    time_point until;
    std::uint32_t count = 0;
};

/// An account with requests at this daemon.
struct used_account
{
    std::string name;
    double rate = 0;
    double burst = 0;
    bucket own;
    std::deque<stocked_tokens> stock;
    std::deque<waiting_request> waiting;
    double returned = 0;
    time_point refused_until;
    /// Requests in the present second and in the one before.
    std::uint32_t demand = 0;
    std::uint32_t last_demand = 0;
    time_point demand_since;
    time_point last_request;
    time_point next_refusal_line;
    /// Tokens asked for in a report that has no answer yet.
    std::uint32_t asked = 0;
    time_point asked_at;
};

struct sent_report
{
    std::uint64_t number = 0;
    time_point sent_at;
};

/// What this daemon knows of an owner of accounts.
struct owner_link
{
    daemon_ref owner;
    std::uint64_t stamp = 0;
    /// When the oldest report without an answer was sent; unset when none is.
    std::optional<time_point> unanswered_since;
    time_point last_sent;
    std::deque<sent_report> sent;
};

struct known_daemon
{
    fleet_member member;
    /// When it was last listed as a member.
    time_point last_listed;
    bool is_listed = true;
};

/// Last report of a daemon that was handled.
struct report_position
{
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
};

struct limit_state
{
    daemon_ref own_daemon;
    std::string own_address;
    time_point started;
    bool has_joined = false;
    /// An account has a rate, so that entitlements are delegated.
    bool has_limits = false;
    /// See make_state().
    duration window{0};
    std::map<std::uint64_t, known_daemon> daemons;
    std::map<std::uint64_t, used_account> used;
    std::map<std::uint64_t, owned_account> owned;
    std::array<owned_group, group_count> owned_groups;
    std::array<delegation, group_count> delegations;
    std::map<std::uint64_t, owner_link> links;
    /// Daemons that left reports without answer, and until when none of them is
    /// taken for an owner.
    std::map<std::uint64_t, time_point> avoided;
    std::map<std::uint64_t, report_position> positions;
    /// Greatest number of entitled daemons that a peer has told lately. A
    /// daemon that started while the fleet is separated knows less than its
    /// peers.
    std::size_t heard_entitled = 0;
    time_point heard_at;
    std::uint64_t report_number = 0;
    /// Increases with each change of `daemons` and `avoided`.
    std::uint64_t fleet_version = 1;
};

struct outgoing_message
{
    std::string address;
    std::variant<report, grant> content;
};

struct actions
{
    std::vector<token_decision> decisions;
    std::vector<outgoing_message> messages;
    std::vector<event_line> log;
    /// How each decision was made, for metrics.
    std::vector<std::string_view> outcomes;
};

/// \param window  a limit is about the requests in any time of this length, in
///                which it permits the rate times the window plus the burst; 0
///                for a token bucket
limit_state make_state(daemon_ref own_daemon, std::string_view own_address,
                       time_point now, duration window = duration(0));
void on_configured(limit_state& state, configured const& update);
void on_fleet(limit_state& state, fleet const& update, time_point now);
void on_token_request(limit_state& state, token_request const& request,
                      time_point now, actions& out);
void on_token_return(limit_state& state, token_return const& returned);
void on_report(limit_state& state, report const& received, time_point now,
               actions& out);
void on_grant(limit_state& state, grant const& received, time_point now,
              actions& out);

/// Runs due timers and returns the time of the next call.
time_point on_tick(limit_state& state, time_point now, actions& out);

/// Group of an account, by the hash of its name.
std::uint32_t group_of(std::uint64_t account);

/// Owner of the account's group: the daemon with the highest rendezvous hash
/// among those that are live and not avoided; this daemon when it knows no
/// other. Daemons need not agree on it, because each delegates its own part
/// only.
daemon_ref owner_of(limit_state const& state, std::uint64_t account);

/// Ends all leases that others delegated to this daemon and empties their
/// buckets: the steady clock did not count a time in which the process stood
/// still, so the leases may have ended.
void on_clock_gap(limit_state& state, time_point now);

/// Keeps the number of entitled daemons that a peer tells.
void note_entitled(limit_state& state, std::size_t told, time_point now);

/// Time for which entitlements are delegated. It grows with the fleet, so that
/// an owner handles about 110 reports per second.
duration lease_time(limit_state const& state, time_point now);

/// Number of daemons that are entitled to a part of each limit, as far as this
/// daemon knows by itself.
std::size_t count_entitled(limit_state const& state, time_point now);

} // namespace gooseberrycove::account_limit

#endif
