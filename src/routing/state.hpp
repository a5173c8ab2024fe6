#ifndef GOOSEBERRYCOVE_ROUTING_STATE_HPP
#define GOOSEBERRYCOVE_ROUTING_STATE_HPP

#include "candidates.hpp"
#include "data_centre.hpp"
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

/// Homes that may be tried for a request on an open or unclaimed route. Such a
/// request is never claimed, and a home that refuses costs about 1 ms.
inline constexpr std::size_t max_homes_unclaimed = 10;

/// Time after the deadline in which the home's own timeout result can still
/// arrive. It states the outcome more precisely than the `timed_out` that
/// routing responds with when there is no result.
inline constexpr duration timeout_report_grace = std::chrono::milliseconds(50);

/// Time after a timed-out response in which the result of claimed work is
/// awaited, so that the claim's row records that result instead of "unknown".
inline constexpr duration max_settle_time = std::chrono::seconds(5);

/// Maximum wait for the removal of a claim. After it the response to the caller
/// is `outcome_unknown`.
inline constexpr duration max_release_time = std::chrono::seconds(2);

/// Maximum wait for the decision on an account's token. The account limit duty
/// decides earlier unless its thread gets no processor time.
inline constexpr duration max_token_wait = std::chrono::milliseconds(250);

/// Configuration entries for one request. The views are valid as long as the
/// tables. A request without a route is refused, and so is one without an
/// account unless its route is open.
struct lookup_result
{
    std::optional<config::account_view> account;
    std::optional<config::route_view> route;
    /// Hash of the key by which the account was looked up; unset when it was
    /// looked up by name.
    std::optional<config::key_hash> account_key;
    /// False when the daemon has not read any configuration.
    bool is_configured = true;
    /// See config::in_force.
    bool is_current = true;
    /// False when the configuration has no accounts, so that nobody could
    /// authenticate for a route that does not exist.
    bool has_accounts = true;
    std::uint32_t floor_slots = 0;
    double floor_share = 0;
    /// The homes of the service apply its retry limit.
    bool homes_limit_retries = false;
    std::string_view priority_name;
};

struct attempt_state
{
    std::uint32_t number = 0;
    std::string server;
    daemon_ref home;
    std::string home_address;
    time_point sent_at;
    bool is_open = true;
    bool is_other_data_centre = false;
    /// The service's retry limit covers it; see work_request::retry_weight.
    bool is_limited = false;
};

enum class phase : std::uint8_t
{
    limiting,  ///< waits for account_limit::token_decision
    claiming,  ///< waits for claims::claim_result
    withdrawn, ///< answered before the claim was granted; a grant is returned
    running,   ///< waits for results of attempts
    releasing, ///< waits for claims::claim_released
    settling   ///< the caller is answered; the claim's result is awaited
};

using timer_queue = std::multimap<time_point, request_id>;

/// One caller request in flight.
struct request_state
{
    caller_request original;
    std::string account;
    std::string service;
    std::string route;
    std::string priority_name;
    priority_index priority = 0;
    bool repeatable = true;
    /// The work_request::retry_weight of the first attempt.
    double retry_weight = 0;
    /// Runs under a claim: non-repeatable and not on an unclaimed route.
    bool needs_claim = false;
    /// On a route that is open or unclaimed.
    bool is_unclaimed = false;
    /// Holds a token of its account, which returns when the request ends
    /// without having reached a server.
    bool has_token = false;
    /// Number of backend servers that the request may reach, and number of
    /// those that it has reached.
    std::uint32_t max_servers_reached = config::default_attempts;
    std::uint32_t servers_reached = 0;
    /// Refusals that hold for the whole service; see
    /// work_result::is_service_wide.
    std::uint32_t service_wide_refusals = 0;
    time_point deadline;
    phase current_phase = phase::running;
    bool is_answered = false;
    claims::claim_result claim_result;
    std::vector<attempt_state> attempts;
    /// The failure to report when no attempt succeeds; see keep_failure().
    work_result failure;
    bool has_failure = false;
    /// Least time after which a home that refused expects to have room; zero
    /// when none told.
    duration retry_after{0};
    time_point hedge_at = never;
    time_point unresponsive_at = never;
    /// The entry of this request in routing_state::timers, if any.
    std::optional<timer_queue::iterator> timer;
};

inline std::size_t max_homes_for(request_state const& request)
{
    return request.is_unclaimed ? max_homes_unclaimed : max_homes;
}

/// Candidates, floor, load and retry budget of one service.
struct service_state
{
    std::uint32_t floor_slots = 0;
    double floor_share = 0;
    bool homes_limit_retries = false;
    std::vector<members::candidate> candidates;
    /// This daemon's attempts in flight by server; newer than any report.
    std::map<std::string, std::uint32_t, std::less<>> outstanding;
    reported_probabilities probability_reports;
    reported_statements statements;
    retry_budget budget;
    retry_replies limited_replies;
    latency_histogram latency;
};

struct routing_state
{
    daemon_ref own_daemon;
    std::string own_address;
    std::string data_centre;
    /// Seconds of waiting per MiB that would leave the data centre; 0 when the
    /// bytes have no price.
    double cross_data_centre_cost = 0;
    /// Refusals carry loads of siblings, and a load that is newer than that of
    /// the directory stays.
    bool keeps_newer_loads = false;
    route_means_map route_answers;
    path_delays delays;
    /// Service of this VM's backend server, sent with each work request.
    std::string caller_service;
    /// Share of that server's running work that counts as retries, 0 to 1.
    double local_retry_share = 0;
    std::mt19937_64 random;
    std::size_t in_flight_limit = max_in_flight;
    std::unordered_map<request_id, request_state, request_id_hash> requests;
    std::map<std::string, service_state, std::less<>> services;
    timer_queue timers;
    rate_limiter account_limiter;
    /// The limits of accounts hold in the whole fleet; account_limiter is not
    /// used then.
    bool has_fleet_limits = false;
    split_positions splits;
    home_evidence evidence;
    /// Set by refuse_unstarted: new requests are refused, and no other home is
    /// tried for those in flight.
    bool is_stopping = false;
    /// Number of results whose attempt or request had already ended.
    std::uint64_t dropped_results = 0;
};

/// The only response to a caller's request: the backend server's own response
/// when kind is none.
struct final_response
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

/// Work or a cancellation for the home at `address`, or for this daemon's own
/// admission when `is_local`.
struct home_message
{
    std::string address;
    bool is_local = false;
    std::variant<work_request, admission::cancel> content;
    peer::scope scope = peer::scope::unknown;
};

/// Actions that a decision leaves to the thread, in order within each list.
struct actions
{
    std::vector<final_response> responses;
    std::vector<home_message> home_messages;
    std::vector<claims::message> claim_messages;
    std::vector<account_limit::message> limit_messages;
    std::vector<event_line> log;
};

} // namespace gooseberrycove::routing

#endif
