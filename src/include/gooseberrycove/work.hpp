#ifndef GOOSEBERRYCOVE_WORK_HPP
#define GOOSEBERRYCOVE_WORK_HPP

#include <gooseberrycove/error.hpp>
#include <gooseberrycove/header.hpp>
#include <gooseberrycove/types.hpp>

#include <string>
#include <vector>

namespace gooseberrycove
{

/// Names the claim under which a non-repeatable request runs. An empty id
/// means that the request needs no claim.
struct claim_ref
{
    std::string id;
    std::uint64_t epoch = 0;
};

/// One attempt to run a caller's request at a home daemon.
struct work_request
{
    request_id id;
    /// The caller's own id; opaque, passed on as it came.
    std::string caller_id;
    /// Distinguishes the attempts of one request; a result repeats it.
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
    /// Further headers that go on to the server.
    std::vector<header_field> headers;
    std::string body;
    std::string idempotency_key;
    std::string traceparent;
    /// Service of the VM where the request began.
    std::string caller_service;
    time_point deadline;
    /// When the caller's request was received. Targets count from then, over
    /// all homes that were tried.
    time_point received;
    claim_ref claim;
    /// Backend server chosen by routing; the home may use another one of the
    /// same service that it is home to when this is empty.
    std::string server;
    /// Whether routing has another home to try. Such work is refused rather
    /// than queued when it would miss its priority's target here.
    bool has_other_homes = false;
    /// The request may have reached another server before.
    bool is_retry = false;
    /// Part of the arrival that counts in the service's limit of repeats: 1 for
    /// a repeat. A call made by a repeated run counts too, and nothing in it
    /// tells; it is the share of such runs at the VM where the request began.
    double retry_weight = 0;
    /// Servers of the service that share its limit of repeats.
    std::uint32_t retry_limit_servers = 1;
    /// Doubt about the server that routing has allowed for; the home refuses
    /// the work when its own is clearly greater.
    double accepted_failure_probability = 0;
    /// Run of the home that the work is meant for. A restarted home has
    /// forgotten its fences, so claimed work for its earlier run is not run.
    daemon_ref home;
    /// Daemon that gets the result. Equal to this daemon for local work.
    daemon_ref origin;
    /// Peer address of the origin, `ip:port`.
    std::string origin_address;
};

/// Load and health of one backend server as its home sees it.
enum class health_state : std::uint8_t
{
    healthy,
    ejected,
    probation
};

std::string_view to_string(health_state value);

/// From this probability of a failing server on, work that must not run twice
/// goes elsewhere or back to its caller.
inline constexpr double failure_probability_limit = 0.5;

/// Share of time for which servers fail at the users' sites: the doubt about a
/// server of which nothing is known.
inline constexpr double prior_failure_probability = 0.25;

/// work::known_doubt of repeatable work that tests a server in doubt.
inline constexpr double any_failure_probability = 1;

/// What is left of a doubt after a time without evidence: it fades towards the
/// share of time for which servers fail.
double decayed_failure_probability(double probability, duration passed);

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
    /// Decayed counts and moments of real work, for comparison with siblings.
    double samples = 0;
    double failures = 0;
    double mean_log_latency = 0;
    /// Rises with each report of the same home incarnation.
    std::uint64_t sequence = 0;
    /// Probability that the server fails most of its work at present.
    double failure_probability = 0;
};

/// Result of one attempt.
struct work_result
{
    request_id id;
    std::uint32_t attempt = 0;
    /// none when the backend server answered completely.
    error_kind kind = error_kind::none;
    outcome run_outcome = outcome::unknown;
    int status = 0;
    std::string content_type;
    /// Further headers of the server's answer.
    std::vector<header_field> headers;
    std::string body;
    std::string server;
    std::string detail;
    /// Time from dispatch to the complete answer; zero when not dispatched.
    duration service_time{0};
    /// Status of the servers of this service at the home, for later choices.
    std::vector<server_status> statuses;
    daemon_ref home;
};

} // namespace gooseberrycove

#endif
