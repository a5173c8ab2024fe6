#ifndef GOOSEBERRYCOVE_HEALTH_HPP
#define GOOSEBERRYCOVE_HEALTH_HPP

#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/types.hpp>
#include <gooseberrycove/work.hpp>

#include <string>
#include <variant>

namespace gooseberrycove::health
{

/// How one attempt at a backend server ended, as evidence.
enum class sample_class : std::uint8_t
{
    success,
    failure,
    shed, ///< explicit refusal by the server; no evidence of a fault
    /// The deadline passed; a failure only when the server had the work for
    /// the service's 95th percentile time.
    timeout
};

/// Result of one attempt at a backend server homed here.
struct sample
{
    std::string server;
    std::string service;
    sample_class result = sample_class::success;
    /// In proportion to what work of this priority usually takes at this
    /// server, as if that were one second.
    duration latency{0};
    time_point at;
};

/// A backend server was announced, changed its slots or left.
struct server_change
{
    std::string server;
    std::string service;
    /// `ip:port` for probes.
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

/// A home of the same service asks for reports. Health answers with verdicts
/// that hold the present counts: the last periodic ones may be older than the
/// alarm that they are compared with.
struct report_request
{
    std::string service;
};

/// The health state of a server homed here changed, or its counts did.
struct status_update
{
    server_status status;
    /// Why the state is what it is, for logs and for the operator.
    std::string reason;
    /// Ask siblings for fresh reports at once, to confirm an alarm.
    bool requests_reports = false;
    /// Answers a report_request.
    bool is_reply = false;
};

/// Messages that the health duty takes.
using message = std::variant<std::monostate, sample, server_change,
                             sibling_report, probe_result, report_request>;
using inbox = ring<message>;

} // namespace gooseberrycove::health

#endif
