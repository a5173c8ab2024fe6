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

/// Residuals of a server's log latencies against its siblings: an older VM is
/// slower all the time, which is no fault. Samples count only after the
/// latency test has returned to zero, so that a fault does not widen the
/// deviation that it is measured with.
struct spread
{
    double samples = 0;
    double sum = 0;
    double squares = 0;
    double pending_samples = 0;
    double pending_sum = 0;
    double pending_squares = 0;
};

/// The tests that run on each server.
enum class signal : std::uint8_t
{
    partial_failure,
    outage,
    slow
};

std::string_view to_string(signal value);

/// Latencies of the samples that the latency test's sum consists of.
struct latency_run
{
    std::array<float, 64> logs{};
    std::size_t count = 0;
};

/// Wait before siblings are asked again; it grows by as much with each request.
/// Longer than the way of a report and back within a region, because a new
/// request makes earlier reports stale.
inline constexpr duration first_ask_wait = std::chrono::milliseconds(20);

struct alarm
{
    signal what = signal::partial_failure;
    time_point raised;
    /// When the siblings were last asked for reports.
    time_point asked;
    duration ask_wait = first_ask_wait;
    unsigned asks = 0;
    /// The evidence at that time. Reports say nothing about later samples: at
    /// the start of a shared fault the siblings' later failures are missing.
    cusum sum;
    latency_run run;
};

struct probation
{
    double failure_nats = 0;
    double latency_nats = 0;
    std::uint32_t samples = 0;
    time_point since;
};

/// One backend server homed here.
struct server_test
{
    server_change what;
    time_point known_since;
    /// Set when the server has left; its relapses are remembered.
    std::optional<time_point> gone_since;
    health_state health = health_state::healthy;
    decayed_tally counts;
    cusum partial;
    cusum dead;
    cusum slow;
    latency_run slow_run;
    spread deviation;
    std::optional<alarm> raised;
    double score = 0;
    /// What the last ejection was for.
    signal ejected_for = signal::partial_failure;
    time_point hold_until;
    std::optional<time_point> last_ejection;
    unsigned relapses = 0;
    probation trial;
    bool probe_failed = false;
    time_point last_probe;
    time_point last_sample;
    std::uint32_t shown_slots = 0;
    time_point last_report;
    std::uint64_t sequence = 0;
};

struct service_tests
{
    sibling_map siblings;
    shared_level shared;
    std::map<std::string, server_test, std::less<>> servers;
};

struct state
{
    error_rates declared;
    std::map<std::string, service_tests, std::less<>> services;
};

/// A verdict for members, and for admission when `changed`.
struct told_verdict
{
    status_update what;
    bool changed = false;
};

struct actions
{
    std::vector<told_verdict> verdicts;
    std::vector<dispatch::probe> probes;
    std::vector<event_line> log;
};

/// Period of reports about each server.
inline constexpr duration report_period = std::chrono::milliseconds(500);

/// Longest wait for sibling reports after an alarm.
inline constexpr duration confirmation_time = std::chrono::seconds(5);

inline constexpr duration first_hold_down = std::chrono::seconds(5);
inline constexpr duration longest_hold_down = std::chrono::minutes(5);
/// An ejection this soon after the last one is a relapse.
inline constexpr duration relapse_time = std::chrono::minutes(10);

/// Servers without a sample for this long are probed, at this period.
inline constexpr duration probe_period = std::chrono::seconds(5);

} // namespace gooseberrycove::health

#endif
