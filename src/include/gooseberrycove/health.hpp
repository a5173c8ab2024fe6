#ifndef GOOSEBERRYCOVE_HEALTH_HPP
#define GOOSEBERRYCOVE_HEALTH_HPP

#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/types.hpp>
#include <gooseberrycove/work.hpp>

#include <string>
#include <variant>

namespace gooseberrycove::health
{

/// Result of one attempt at a backend server, as evidence of its health.
enum class sample_class : std::uint8_t
{
    success,
    failure,
    shed, ///< explicit refusal by the server; not evidence of a fault
    /// The deadline passed. Counts as a failure only when the server had the
    /// request for at least the service's 95th percentile time.
    timeout
};

/// One attempt at a backend server homed here.
struct sample
{
    std::string server;
    std::string service;
    sample_class result = sample_class::success;
    /// Relative to the usual latency of this priority at this server: one
    /// second stands for the usual latency.
    duration latency{0};
    time_point at;
};

/// A backend server was announced, changed its slots or left.
struct server_change
{
    std::string server;
    std::string service;
    /// `ip:port` that probes are sent to.
    std::string address;
    std::uint32_t slots = 0;
    duration warmup{0};
    bool is_gone = false;
    std::string probe_path = "/healthz";
};

/// Status of a backend server of the same service at another home.
struct sibling_report
{
    server_status status;
    daemon_ref home;
    time_point received;
};

/// Result of a probe of an idle server; weak evidence.
struct probe_result
{
    std::string server;
    bool ok = false;
    duration latency{0};
};

/// Requests reports for another home of the same service. Health replies with
/// status updates that hold the current counts, because the last periodic
/// updates may be older than the alarm that they are compared with.
struct report_request
{
    std::string service;
};

/// The health state or the counts of a server homed here changed.
struct status_update
{
    server_status status;
    /// Reason for the state, for logs and the operator.
    std::string reason;
    /// The homes of sibling servers are to report at once, to confirm an
    /// alarm.
    bool requests_reports = false;
    /// Replies to a report_request.
    bool is_reply = false;
};

/// Messages that the health duty handles.
using message = std::variant<std::monostate, sample, server_change,
                             sibling_report, probe_result, report_request>;
using inbox = ring<message>;

} // namespace gooseberrycove::health

#endif
