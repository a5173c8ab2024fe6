#ifndef GOOSEBERRYCOVE_ADMISSION_STATE_HPP
#define GOOSEBERRYCOVE_ADMISSION_STATE_HPP

#include "adaptive_limit.hpp"
#include "claim_memory.hpp"
#include "failing_calls.hpp"
#include "failure_estimate.hpp"
#include "queue.hpp"
#include "retry_limit.hpp"
#include "server_limit.hpp"
#include "service_time.hpp"
#include "share_credit.hpp"
#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/event.hpp>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrycove::admission
{

/// Configuration of one priority of a service.
struct priority_policy
{
    bool is_declared = false;
    double min_share = 0;
    duration target{0};
};

/// Configuration of a service, with its priorities.
struct service_policy
{
    std::string service;
    std::uint32_t reserved_slots = 1;
    duration warmup{0};
    std::string probe_path = "/healthz";
    std::optional<retry_allowance> retry_limit;
    std::array<priority_policy, max_priorities> priorities{};
};

/// Request that a server is running.
struct active_run
{
    std::uint64_t ticket = 0;
    priority_index priority = 0;
    time_point started;
    /// Whether the run was recorded as observation::progress.
    bool has_progressed = false;
    /// Whether the run was recorded as observation::overdue.
    bool is_overdue = false;
};

/// A backend server homed here.
struct homed_server_state
{
    std::string name;
    std::string service;
    std::string address;
    members::server_state state = members::server_state::serving;
    /// From the last status update; its load figures are not used.
    server_status status;
    std::uint64_t incarnation = 0;
    adaptive_limit limit;
    server_limit stated_limit;
    failure_estimate failure;
    /// Logged as refusing requests although it has free slots.
    bool is_refusing = false;
    time_point announced_at;
    /// Warm-up time that the server announced, counted from `announced_at`; 0
    /// selects the warm-up time of the service.
    duration warmup{0};
    std::uint32_t in_flight = 0;
    /// Requests in flight that are not of the most urgent priority.
    std::uint32_t lower_in_flight = 0;
    std::vector<active_run> active;
    std::uint32_t queued = 0;
    bool has_unreported_load = false;
    time_point load_reported_at;
};

struct priority_state
{
    priority_queue queue;
    service_time_estimate estimate;
    call_outcomes calls;
};

/// A service with at least one server homed here.
struct service_state
{
    service_policy policy;
    std::array<priority_state, max_priorities> priorities{};
    std::vector<std::string> servers;
    share_credit credits;
    arrival_counts arrivals;
    std::size_t queued = 0;
};

/// Request that was sent to dispatch and has no result yet.
struct in_flight_request
{
    work_request request;
    std::string server;
    duration charged_time{0};
    /// Requests in flight at the server, with this one, when it started.
    std::uint32_t concurrency = 0;
    bool is_urgent = false;
};

struct admission_state
{
    daemon_ref own_daemon;
    /// When the duty started.
    time_point started;
    std::unordered_map<std::string, service_state> services;
    std::unordered_map<std::string, homed_server_state> servers;
    std::unordered_map<std::string, service_policy> policies;
    /// By ticket.
    std::map<std::uint64_t, in_flight_request> in_flight;
    std::uint64_t last_ticket = 0;
    claim_memory claims;
    time_point next_queue_check;
    /// When the daemon ends, once its shutdown has begun.
    time_point shutdown_end = time_point::max();
    bool is_draining = false;
    /// Servers of other homes that a refusal names; 0 names none.
    std::size_t max_siblings = 0;
    /// The last view of each service homed here.
    std::map<std::string, members::service_view_ptr, std::less<>> views;
};

/// Result of an attempt and the daemon that receives it.
struct addressed_result
{
    daemon_ref origin;
    std::string address;
    work_result result;
};

struct addressed_fence_response
{
    daemon_ref requester;
    std::string address;
    claims::fence_response response;
};

/// One placement decision, for the log.
struct decision
{
    event event_id = event::work_started;
    /// Request id that the caller sent.
    std::string caller_id;
    std::string service;
    priority_index priority = 0;
    std::string server;
    std::string reason;
    /// Inputs of the decision: the server's load and failure probability, the
    /// failure probability that routing accepted, and the time at which the
    /// caller's request was received.
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    double failure_probability = 0;
    double accepted_failure_probability = 0;
    time_point received;
    /// Copies of the request's fields for the retry limit.
    bool is_retry = false;
    double retry_weight = 0;
    std::uint32_t retry_limit_servers = 1;
};

/// Messages to send and decisions to log, as the decision functions return
/// them.
struct actions
{
    std::vector<dispatch::start> starts;
    std::vector<dispatch::cancel> cancels;
    std::vector<addressed_result> results;
    std::vector<addressed_fence_response> fence_responses;
    std::vector<health::sample> samples;
    std::vector<health::server_change> server_changes;
    std::vector<members::server_load> loads;
    std::vector<decision> decisions;
    /// Lines about changes of what a server has stated.
    std::vector<event_line> log;
    /// Answers whose statement could not be read.
    std::uint64_t malformed_statements = 0;
    /// Requests refused because the calls of such runs fail.
    std::uint64_t failing_call_refusals = 0;
    /// Refusals by backend servers, for the counters.
    std::vector<observation> server_refusals;
};

/// Interval between checks of queued requests against their deadlines.
inline constexpr duration queue_check_interval{20'000};

/// Minimum interval between two load reports of a server.
inline constexpr duration load_report_interval{200'000};

} // namespace gooseberrycove::admission

#endif
