#include <gooseberrycove/deployment.hpp>
#include <gooseberrycove/ring.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove
{

namespace
{

/// Without a stated shutdown time a daemon drains for this long, without a
/// notice.
constexpr duration default_drain_limit = std::chrono::seconds(30);
/// Without a stated memory.
constexpr std::uint64_t default_max_buffered = std::uint64_t{256} << 20;

/// Time in which the last responses are written and the threads end. A sixth of
/// a shutdown time below 3 s.
constexpr duration stop_time = std::chrono::milliseconds(500);
constexpr int max_stop_share = 6;

/// Callers are moved to other VMs after two missed readiness checks, which come
/// once a second; a further second is for the requests that were sent before,
/// and one for a check that comes late.
constexpr duration max_drain_notice = std::chrono::seconds(4);
/// The rest of the shutdown time is for requests that began in the notice.
constexpr int drain_notice_divisor = 2;

/// Share of the memory for answers that are being received. The process itself
/// takes under 10 MB; the rest is for request bodies and for answers on their
/// way to callers.
constexpr std::uint64_t buffered_percent = 60;

/// Share of the memory for request bodies, until their responses are written.
/// Messages between daemons encode one body at a time, which takes several
/// times its size and is not part of this share.
constexpr std::uint64_t bodies_percent = 25;
/// Share of the memory for the bodies of work from other daemons until their
/// results.
constexpr std::uint64_t received_bodies_percent = 10;
/// Without a stated memory.
constexpr std::uint64_t default_max_all_bodies = std::uint64_t{256} << 20;

/// Descriptors for files, listeners, other daemons and the platform.
constexpr std::uint64_t reserved_descriptors = 300;
/// A request holds the connection of its caller and one to a backend server.
constexpr std::uint64_t descriptors_per_request = 2;

std::optional<duration> optional_seconds(settings const& values,
                                         std::string_view key)
{
    if (values.text("daemon", key).empty())
        return std::nullopt;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(values.real("daemon", key)));
}

std::optional<std::uint64_t> optional_number(settings const& values,
                                             std::string_view key)
{
    if (values.text("daemon", key).empty())
        return std::nullopt;
    return values.number("daemon", key);
}

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

deployment read_deployment(settings const& values)
{
    deployment given;
    given.shutdown_time = optional_seconds(values, "shutdown_seconds");
    if (auto const megabytes = optional_number(values, "memory_mb"))
        given.memory = *megabytes << 20;
    given.descriptors = optional_number(values, "descriptors");
    given.max_body = values.number("daemon", "max_body_bytes");
    given.drain_limit = optional_seconds(values, "drain_seconds");
    if (auto const notice = optional_number(values, "drain_notice_ms"))
        given.drain_notice = std::chrono::milliseconds(*notice);
    given.max_buffered = optional_number(values, "max_buffered_bytes");
    return given;
}

deployment_bounds derive_bounds(deployment const& given)
{
    deployment_bounds bounds{duration(0),
                             default_drain_limit,
                             default_max_buffered,
                             max_in_flight,
                             default_max_all_bodies,
                             default_max_all_bodies,
                             0};
    if (given.shutdown_time)
        bounds.drain_limit =
            *given.shutdown_time -
            std::min(stop_time, *given.shutdown_time / max_stop_share);
    bounds.drain_limit = given.drain_limit.value_or(bounds.drain_limit);
    if (given.shutdown_time)
        bounds.drain_notice = std::min(
            {max_drain_notice, *given.shutdown_time / drain_notice_divisor,
             bounds.drain_limit});
    bounds.drain_notice = given.drain_notice.value_or(bounds.drain_notice);
    if (given.memory)
    {
        bounds.max_buffered = *given.memory * buffered_percent / 100;
        bounds.max_all_bodies = *given.memory * bodies_percent / 100;
        bounds.max_received_bodies =
            *given.memory * received_bodies_percent / 100;
    }
    bounds.max_buffered = given.max_buffered.value_or(bounds.max_buffered);
    if (given.descriptors)
    {
        bounds.max_connections = std::max<std::uint64_t>(
            (*given.descriptors -
             std::min(*given.descriptors, reserved_descriptors)) /
                descriptors_per_request,
            1);
        bounds.max_in_flight =
            std::min<std::uint64_t>(bounds.max_connections, max_in_flight);
    }
    return bounds;
}

std::vector<std::string> find_conflicts(deployment const& given)
{
    std::vector<std::string> conflicts;
    deployment_bounds const bounds = derive_bounds(given);
    if (given.shutdown_time && bounds.drain_limit > *given.shutdown_time)
        conflicts.push_back(fmt::format(
            "daemon.drain_seconds: {} is longer than "
            "daemon.shutdown_seconds, {}",
            to_seconds(bounds.drain_limit), to_seconds(*given.shutdown_time)));
    if (bounds.drain_notice > bounds.drain_limit)
        conflicts.push_back(fmt::format(
            "daemon.drain_notice_ms: {:.0f} ms is longer than the drain of "
            "{} s, see daemon.drain_seconds and daemon.shutdown_seconds",
            1000 * to_seconds(bounds.drain_notice),
            to_seconds(bounds.drain_limit)));
    if (bounds.max_buffered < given.max_body)
        conflicts.push_back(
            fmt::format("{}: room for answers of {} bytes is less than "
                        "daemon.max_body_bytes, {}",
                        given.max_buffered ? "daemon.max_buffered_bytes"
                                           : "daemon.memory_mb",
                        bounds.max_buffered, given.max_body));
    if (given.memory && bounds.max_buffered > *given.memory)
        conflicts.push_back(fmt::format(
            "daemon.max_buffered_bytes: {} is more than daemon.memory_mb, {}",
            bounds.max_buffered, *given.memory >> 20));
    if (given.descriptors && *given.descriptors <= reserved_descriptors)
        conflicts.push_back(
            fmt::format("daemon.descriptors: {} leaves none for the callers of "
                        "daemon.listen, at least {} are needed",
                        *given.descriptors, reserved_descriptors + 2));
    return conflicts;
}

std::string assumed_settings(deployment const& given)
{
    std::string names;
    auto const add = [&](bool is_stated, std::string_view name)
    {
        if (is_stated)
            return;
        names += names.empty() ? "" : ",";
        names += name;
    };
    add(given.shutdown_time || given.drain_limit, "shutdown_seconds");
    add(given.memory || given.max_buffered, "memory_mb");
    add(given.descriptors.has_value(), "descriptors");
    return names;
}

} // namespace gooseberrycove
