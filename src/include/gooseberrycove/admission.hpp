#ifndef GOOSEBERRYCOVE_ADMISSION_HPP
#define GOOSEBERRYCOVE_ADMISSION_HPP

#include <gooseberrycove/claims.hpp>
#include <gooseberrycove/config.hpp>
#include <gooseberrycove/dispatch.hpp>
#include <gooseberrycove/health.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/work.hpp>

#include <atomic>
#include <string_view>
#include <variant>

namespace gooseberrycove::admission
{

/// Cancels an attempt, whether it is queued or running.
struct cancel
{
    request_id id;
    std::uint32_t attempt = 0;
    daemon_ref origin;
    /// Cancels the attempt only when it has not started.
    bool is_queued_only = false;
};

/// work_result::detail of a refusal because the service's retry limit is used
/// up.
inline constexpr std::string_view retry_limit_reason = "repeat_limit";

/// Share of the work in progress at the servers homed here that counts as
/// retries, 0 to 1. Written by admission and read by routing, which handles
/// the calls that these servers make.
using retry_share = std::atomic<double>;

/// The daemon ends at `end`. Requests that are not expected to end by then are
/// refused; others are still started.
struct shutdown_notice
{
    time_point end;
};

/// Refuses new requests and returns queued ones as not run; running requests
/// are finished.
struct drain
{
};

/// Messages that the admission duty handles.
using message =
    std::variant<std::monostate, work_request, cancel, dispatch::finished,
                 members::homed_server, config::in_force, claims::fence,
                 health::status_update, shutdown_notice, drain,
                 members::service_view_ptr>;
using inbox = ring<message>;

} // namespace gooseberrycove::admission

#endif
