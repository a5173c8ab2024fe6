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

/// In the order of setting daemon.log_level.
enum class severity : std::uint8_t
{
    info,
    warning,
    error
};

/// One line on its way to the log's thread.
struct log_record
{
    std::chrono::system_clock::time_point at;
    severity level = severity::info;
    event event_id = event::process_started;
    /// Normal progress of a request. Under load such lines are left out before
    /// those of failures.
    bool is_routine = false;
    std::string text;
};

using log_ring = ring<log_record>;

/// Lines that wait for the log's thread.
inline constexpr std::size_t log_ring_capacity = 4096;

/// The ring that log_info() and its siblings push to. A line that finds no
/// room is dropped and counted; no duty ever waits for the log.
log_ring& process_log();

/// What became of the lines of this process.
struct log_counts
{
    std::atomic<std::uint64_t> written{0};
    std::atomic<std::uint64_t> left_out{0}; ///< by the limit of lines a second
    std::atomic<std::uint64_t> dropped{0};  ///< ring full, or nobody reads
};

log_counts& process_log_counts();

/// Lines below this level are not logged.
void set_log_level(severity least);

} // namespace gooseberrycove

#endif
