#ifndef GOOSEBERRYCOVE_HEALTH_STATE_HPP
#define GOOSEBERRYCOVE_HEALTH_STATE_HPP

#include "baseline.hpp"
#include "sequential.hpp"
#include <gooseberrycove/dispatch.hpp>
#include <gooseberrycove/event.hpp>
#include <gooseberrycove/health.hpp>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrycove::health
{

/// Residuals of a server's log latencies against its siblings. An older VM is
/// slower all the time, which is no fault. Samples are pending until the
/// latency test has returned to zero: the samples of a fault would widen the
/// deviation that the test measures them by.
struct latency_residuals
{
    double samples = 0;
    double sum = 0;
    double square_sum = 0;
    double pending_samples = 0;
    double pending_sum = 0;
    double pending_square_sum = 0;
};

/// Faults that are tested for at each server.
enum class fault_kind : std::uint8_t
{
    partial_failure,
    outage,
    slow
};

std::string_view to_string(fault_kind value);

/// Log latencies of the last samples in the latency test's sum.
struct latency_samples
{
    std::array<float, 64> log_latencies{};
    std::size_t count = 0;
};

/// Wait before reports are requested again; it grows by as much with each
/// request. Longer than the round trip of a request within a region, because a
/// new request makes earlier reports stale.
inline constexpr duration initial_request_wait = std::chrono::milliseconds(20);

struct alarm
{
    fault_kind kind = fault_kind::partial_failure;
    time_point raised_at;
    /// When reports were last requested from the siblings.
    time_point requested;
    duration request_wait = initial_request_wait;
    unsigned requests = 0;
    /// The evidence when reports were last requested. Reports do not cover
    /// later samples: at the start of a shared fault the siblings' later
    /// failures are missing.
    cusum sum;
    latency_samples latencies;
};

/// Evidence since a probation began.
struct probation_evidence
{
    double failure_nats = 0;
    double latency_nats = 0;
    std::uint32_t samples = 0;
    time_point since;
};

/// Tests and health state of one backend server homed here.
struct server_test
{
    server_change server;
    time_point announced_at;
    /// Set when the server has left; its relapses are kept for relapse_window.
    std::optional<time_point> gone_since;
    health_state health = health_state::healthy;
    decayed_tally counts;
    cusum partial_failure_sum;
    cusum outage_sum;
    cusum slow_sum;
    latency_samples slow_latencies;
    latency_residuals residuals;
    std::optional<alarm> active_alarm;
    double score = 0;
    /// Fault of the last ejection.
    fault_kind ejected_for = fault_kind::partial_failure;
    time_point hold_until;
    std::optional<time_point> last_ejection;
    unsigned relapses = 0;
    probation_evidence probation;
    bool probe_failed = false;
    time_point last_probe;
    time_point last_sample;
    std::uint32_t reported_slots = 0;
    time_point last_report;
    std::uint64_t sequence = 0;
};

struct service_tests
{
    sibling_map siblings;
    shared_level shared;
    std::map<std::string, server_test, std::less<>> servers;
};

struct health_duty_state
{
    error_rates target_rates;
    std::map<std::string, service_tests, std::less<>> services;
};

/// A status update for members, and for admission when `is_change`.
struct pending_status_update
{
    status_update update;
    bool is_change = false;
};

struct actions
{
    std::vector<pending_status_update> status_updates;
    std::vector<dispatch::probe> probes;
    std::vector<event_line> log;
};

/// Period of reports about each server.
inline constexpr duration report_period = std::chrono::milliseconds(500);

/// Longest wait for the sibling reports that confirm an alarm.
inline constexpr duration confirmation_timeout = std::chrono::seconds(5);

inline constexpr duration initial_hold_down = std::chrono::seconds(5);
inline constexpr duration max_hold_down = std::chrono::minutes(5);
/// An ejection within this time of the last one is a relapse.
inline constexpr duration relapse_window = std::chrono::minutes(10);

/// A server without a sample for this time is probed, once in this period.
inline constexpr duration probe_period = std::chrono::seconds(5);

} // namespace gooseberrycove::health

#endif
