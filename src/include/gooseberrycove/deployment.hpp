#ifndef GOOSEBERRYCOVE_DEPLOYMENT_HPP
#define GOOSEBERRYCOVE_DEPLOYMENT_HPP

#include <gooseberrycove/settings.hpp>
#include <gooseberrycove/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove
{

/// What a deployment gives a daemon, as its settings state it. A field without
/// a value was not stated.
struct deployment
{
    /// Time from SIGTERM until the process is killed.
    std::optional<duration> shutdown_time;
    /// Memory at which the process is killed, in bytes.
    std::optional<std::uint64_t> memory;
    /// File descriptors that the process may have open.
    std::optional<std::uint64_t> descriptors;
    /// Largest body of a request or an answer, in bytes.
    std::uint64_t max_body = 0;
    /// Values that an operator sets in place of the derived ones.
    std::optional<duration> drain_limit;
    std::optional<duration> drain_notice;
    std::optional<std::uint64_t> max_buffered;
};

/// Bounds of a daemon that follow from its deployment.
struct deployment_bounds
{
    /// Time from SIGTERM in which callers and the backend servers here are
    /// served as usual.
    duration drain_notice{0};
    /// Time from SIGTERM until requests in flight are given up.
    duration drain_limit{0};
    /// Size of all answers that are being received, in bytes.
    std::uint64_t max_buffered = 0;
    /// Callers' requests without a response.
    std::uint64_t max_in_flight = 0;
    /// Memory for the bodies of all requests of callers, in bytes.
    std::uint64_t max_all_bodies = 0;
    /// Memory for the bodies of work that other daemons send to this home, in
    /// bytes.
    std::uint64_t max_received_bodies = 0;
    /// Connections of callers at which accepting pauses; 0 for no limit.
    std::uint64_t max_connections = 0;
};

/// Reads the fields from checked settings.
deployment read_deployment(settings const& values);

/// Derives the bounds. The formulas are in docs/deployment.md.
deployment_bounds derive_bounds(deployment const& given);

/// Returns one message for each combination of settings that cannot hold; each
/// names both settings.
std::vector<std::string> find_conflicts(deployment const& given);

/// Names of the settings that were not stated and for which a default is
/// assumed, separated by commas.
std::string assumed_settings(deployment const& given);

} // namespace gooseberrycove

#endif
