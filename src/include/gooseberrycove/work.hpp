#ifndef GOOSEBERRYCOVE_WORK_HPP
#define GOOSEBERRYCOVE_WORK_HPP

#include <gooseberrycove/error.hpp>
#include <gooseberrycove/header.hpp>
#include <gooseberrycove/types.hpp>

#include <string>
#include <vector>

namespace gooseberrycove
{

/// Identifies the claim under which a non-repeatable request runs. The id is
/// empty when the request needs no claim.
struct claim_ref
{
    std::string id;
    std::uint64_t epoch = 0;
};

/// What a backend server has said about itself in its answers. Its home sends
/// it to the daemons that pass the answers on; these return it with their
/// requests, so that a home that restarts keeps to it.
struct server_statement
{
    /// False when the server has never named a limit and does not leave; the
    /// other fields are unset then.
    bool is_known = false;
    /// Start of the server that said it; see members::announcement.
    std::uint64_t incarnation = 0;
    /// Requests per second that the server takes from all daemons together; 0
    /// when it names no limit any more.
    double rate_limit = 0;
    /// The server leaves and gets no more requests.
    bool is_leaving = false;
};

/// One attempt to run a caller's request at a home daemon.
struct work_request
{
    request_id id;
    /// The caller's own identifier; opaque, forwarded unchanged.
    std::string caller_id;
    /// Number of this attempt at the request; returned in the result.
    std::uint32_t attempt = 0;
    std::string account;
    std::string service;
    std::string route;
    priority_index priority = 0;
    bool repeatable = true;
    std::string method;
    /// Path and query.
    std::string target;
    std::string content_type;
    /// Other headers, which are forwarded to the server.
    std::vector<header_field> headers;
    std::string body;
    std::string idempotency_key;
    std::string traceparent;
    /// Service of the VM that the request originated from.
    std::string caller_service;
    time_point deadline;
    /// Time when the caller's request was received. A priority's target time
    /// starts then and includes all homes that were tried.
    time_point received;
    claim_ref claim;
    /// Backend server chosen by routing. When empty, the home chooses one of
    /// its servers of the same service.
    std::string server;
    /// Routing has another home to try. The home then refuses the request
    /// instead of queueing it when it would miss its priority's target.
    bool has_other_homes = false;
    /// The request may have reached another server before.
    bool is_retry = false;
    /// Weight of this arrival in the service's retry limit, 0 to 1: 1 for a
    /// retry. Calls made by a run that is itself a retry count too. They are
    /// not marked as such, so the weight of a call is the share of retries
    /// among the runs at the VM that it originated from.
    double retry_weight = 0;
    /// Number of servers among which the service's retry limit is divided.
    std::uint32_t retry_limit_servers = 1;
    /// Failure probability of the server that routing accepted. The home
    /// refuses the request when its own estimate is clearly greater.
    double accepted_failure_probability = 0;
    /// What the origin knows of the chosen server.
    server_statement statement;
    /// Run of the home that the request is for. A restart loses the fences, so
    /// a claimed request for an earlier run of the home is refused.
    daemon_ref home;
    /// Daemon that the result is sent to; this daemon for a local request.
    daemon_ref origin;
    /// Peer address of the origin, `ip:port`.
    std::string origin_address;
};

/// Health of one backend server as determined by its home.
enum class health_state : std::uint8_t
{
    healthy,
    ejected,
    probation
};

std::string_view to_string(health_state value);

/// From this failure probability of a server on, a request that must not run
/// twice is sent to another server or refused.
inline constexpr double failure_probability_limit = 0.5;

/// Failure probability of a server without evidence: the share of time for
/// which servers fail at the users' sites.
inline constexpr double prior_failure_probability = 0.25;

/// Value of work_request::accepted_failure_probability that accepts any server:
/// for repeatable trial requests to a suspected server.
inline constexpr double any_failure_probability = 1;

/// Failure probability after the time \p elapsed without evidence: decays
/// exponentially towards prior_failure_probability.
double decayed_failure_probability(double probability, duration elapsed);

/// Load and health of one backend server as reported by its home.
struct server_status
{
    std::string server;
    std::string service;
    std::uint32_t slots = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    health_state health = health_state::healthy;
    /// Strength of the evidence against the server, in nats; larger is worse.
    double score = 0;
    /// Decayed counts and mean of real requests, for comparison with
    /// siblings.
    double samples = 0;
    double failures = 0;
    double mean_log_latency = 0;
    /// Increases with each report of the same home incarnation.
    std::uint64_t sequence = 0;
    /// Estimated probability that the server fails most of its requests at
    /// present.
    double failure_probability = 0;
    server_statement statement;
    /// Time until the server's own limit lets the home start another request; 0
    /// without a limit.
    duration start_wait{0};
};

/// Load of a server of another home, which a refusing home passes on.
struct sibling_load
{
    std::string server;
    daemon_ref home;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    /// Time since the server's own home reported it.
    duration age{0};
};

/// Result of one attempt.
struct work_result
{
    request_id id;
    std::uint32_t attempt = 0;
    /// none when the backend server's response is complete.
    error_kind kind = error_kind::none;
    outcome run_outcome = outcome::unknown;
    int status = 0;
    std::string content_type;
    /// Other headers of the server's response.
    std::vector<header_field> headers;
    std::string body;
    std::string server;
    std::string detail;
    /// Time from dispatch to the complete response; zero when not dispatched.
    duration service_time{0};
    /// When the home expects to have room for a refused request; zero when it
    /// does not know.
    duration retry_after{0};
    /// The reason of a refusal is likely to hold at all homes of the service.
    bool is_service_wide = false;
    /// Status of the home's servers of this service, used by later choices.
    std::vector<server_status> statuses;
    daemon_ref home;
    /// With a refusal: servers of the service at other homes that have free
    /// slots.
    std::vector<sibling_load> siblings;
};

} // namespace gooseberrycove

#endif
