#ifndef GOOSEBERRYCOVE_LOG_HPP
#define GOOSEBERRYCOVE_LOG_HPP

#include <gooseberrycove/event.hpp>
#include <gooseberrycove/ring.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace gooseberrycove
{

/// In the order of the values of setting daemon.log_level.
enum class severity : std::uint8_t
{
    info,
    warning,
    error
};

/// One line queued for the log thread.
struct log_record
{
    std::chrono::system_clock::time_point at;
    severity level = severity::info;
    event event_id = event::process_started;
    /// Normal progress of a request. When the limit of lines per second is
    /// reached, such lines are left out before those of failures.
    bool is_routine = false;
    std::string text;
};

using log_ring = ring<log_record>;

/// Lines that can be queued for the log thread.
inline constexpr std::size_t log_ring_capacity = 4096;

/// The ring that log_info(), log_warning() and log_error() push to. When it is
/// full, a line is dropped and counted, so that no duty waits for the log.
log_ring& process_log();

/// Log lines of this process by what was done with them.
struct log_counts
{
    std::atomic<std::uint64_t> written{0};
    std::atomic<std::uint64_t> left_out{0}; ///< over the limit of lines/s
    std::atomic<std::uint64_t> dropped{0};  ///< ring full or closed
};

log_counts& process_log_counts();

/// Sets the level below which lines are not logged.
void set_log_level(severity minimum);

} // namespace gooseberrycove

#endif
