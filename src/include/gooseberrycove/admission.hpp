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
#include <variant>

namespace gooseberrycove::admission
{

/// Withdraws an attempt: queued work is removed, running work is cancelled.
struct cancel
{
    request_id id;
    std::uint32_t attempt = 0;
    daemon_ref origin;
    /// Leaves running work alone.
    bool queued_only = false;
};

/// Part of the work that runs at the servers homed here that counts as a
/// repeat. Admission tells it to routing, which sees their calls.
using retry_share = std::atomic<double>;

/// Stops taking new work and gives queued work back; running work is finished.
struct drain
{
};

/// Messages that the admission duty takes.
using message =
    std::variant<std::monostate, work_request, cancel, dispatch::finished,
                 members::homed_server, config::in_force, claims::fence,
                 health::status_update, drain>;
using inbox = ring<message>;

} // namespace gooseberrycove::admission

#endif
