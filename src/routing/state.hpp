#ifndef GOOSEBERRYCOVE_ROUTING_STATE_HPP
#define GOOSEBERRYCOVE_ROUTING_STATE_HPP

#include "candidates.hpp"
#include "rate_limit.hpp"
#include "retry.hpp"
#include "split.hpp"
#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/event.hpp>
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/routing.hpp>

#include <map>
#include <optional>
#include <random>
#include <unordered_map>

namespace gooseberrycove::routing
{

inline constexpr time_point never = time_point::max();

/// Homes that may be tried for one request.
inline constexpr std::size_t max_homes = 3;

/// The same for requests on open routes, which are never claimed. A home that
/// refuses costs about 1 ms.
inline constexpr std::size_t max_open_homes = 6;

/// Time after the deadline in which a home's own report of the timeout can
/// still arrive; it is more precise than the caller's `timed_out`.
inline constexpr duration answer_grace = std::chrono::milliseconds(50);

/// Time after the deadline in which the result of claimed work is awaited, so
/// that the claim's row gets the real answer instead of "unknown".
inline constexpr duration settle_time = std::chrono::seconds(5);

/// Longest wait for the removal of a claim before the caller is told that the
/// outcome is unknown.
inline constexpr duration release_time = std::chrono::seconds(2);

/// What the configuration says about one request. The views live as long as
/// the tables; an absent account or route is a refusal.
struct looked_up
{
    std::optional<config::account_view> account;
    std::optional<config::route_view> route;
    /// False when the daemon has not read any configuration.
    bool configured = true;
    /// False when the configuration has no accounts, so that nobody could
    /// authenticate for a route that does not exist.
    bool has_accounts = true;
    std::uint32_t floor_slots = 0;
    double floor_share = 0;
    /// The homes of the service limit repeats.
    bool homes_limit_repeats = false;
    std::string_view priority_name;
};

struct attempt
{
    std::uint32_t number = 0;
    std::string server;
    daemon_ref home;
    std::string home_address;
    time_point sent;
    bool open = true;
};

enum class phase : std::uint8_t
{
    claiming,  ///< waits for claims::claim_result
    withdrawn, ///< answered before the claim was granted; returns the grant
    running,   ///< waits for results of attempts
    releasing, ///< waits for claims::claim_released
    settling   ///< the caller is answered; the claim's result is awaited
};

using timer_queue = std::multimap<time_point, request_id>;

/// One caller request in flight.
struct request
{
    caller_request from;
    std::string account;
    std::string service;
    std::string route;
    std::string priority_name;
    priority_index priority = 0;
    bool repeatable = true;
    /// See work_request::retry_weight; of the first attempt.
    double repeat_share = 0;
    /// Runs under a claim: non-repeatable and not on an open route.
    bool claimed = false;
    /// Backend servers that it may reach, and those that it has reached.
    std::uint32_t most_reached = config::default_attempts;
    std::uint32_t reached = 0;
    time_point deadline;
    phase now_in = phase::running;
    bool answered = false;
    claims::claim_result claim;
    std::vector<attempt> attempts;
    /// The failure to report when no attempt succeeds. One that says more
    /// about execution replaces one that says less.
    work_result failure;
    bool failed_before = false;
    time_point hedge_at = never;
    time_point silent_at = never;
    /// The entry of this request in state::timers, if any.
    std::optional<timer_queue::iterator> timer;
};

inline std::size_t homes_allowed(request const& what)
{
    return what.account.empty() ? max_open_homes : max_homes;
}

/// What routing knows about one service.
struct service_state
{
    std::uint32_t floor_slots = 0;
    double floor_share = 0;
    bool homes_limit_repeats = false;
    std::vector<members::candidate> candidates;
    /// Own attempts in flight by server; newer than any report.
    std::map<std::string, std::uint32_t, std::less<>> outstanding;
    doubt_map doubts;
    retry_budget budget;
    latency_histogram latency;
};

struct state
{
    daemon_ref self;
    std::string address;
    std::string data_centre;
    /// Service of this VM's backend server, told to the servers.
    std::string caller_service;
    /// Part of that server's runs that counts as repeats.
    double local_repeats = 0;
    std::mt19937_64 random;
    std::size_t most_in_flight = max_in_flight;
    std::unordered_map<request_id, request, request_id_hash> requests;
    std::map<std::string, service_state, std::less<>> services;
    timer_queue timers;
    rate_limiter rates;
    split_positions splits;
    home_evidence evidence;
    /// See refuse_unstarted.
    bool stopping = false;
    /// Results that came after their request was finished.
    std::uint64_t dropped_results = 0;
};

/// The one answer to a caller: the backend server's own when kind is none.
struct reply
{
    request_id id;
    std::string caller_id;
    error_kind kind = error_kind::none;
    std::string detail;
    work_result result;
    /// For metrics; empty when no route was matched.
    std::string priority = {};
    time_point received = {};
};

/// Work or a cancellation for the home at `address`; this daemon's own
/// admission when `local`.
struct to_home
{
    std::string address;
    bool local = false;
    std::variant<work_request, admission::cancel> what;
};

/// What a decision asks the thread to do, in order within each list.
struct actions
{
    std::vector<reply> replies;
    std::vector<to_home> sends;
    std::vector<claims::message> claim_messages;
    std::vector<event_line> log;
};

} // namespace gooseberrycove::routing

#endif
