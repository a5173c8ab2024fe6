#ifndef GOOSEBERRYCOVE_LOG_LINE_LIMIT_HPP
#define GOOSEBERRYCOVE_LOG_LINE_LIMIT_HPP

#include <gooseberrycove/event.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace gooseberrycove::log
{

/// Maximum number of lines of normal progress that are written per event and
/// second. At the target load a daemon handles up to 143 requests/s, each with
/// one line per event.
inline constexpr std::uint32_t max_routine_lines = 200;
/// Maximum number of lines about failures and state changes that are written
/// per event and second.
inline constexpr std::uint32_t max_other_lines = 500;

/// Lines of one event in the present second.
struct event_line_counts
{
    std::uint32_t routine = 0;
    std::uint32_t other = 0;
    std::uint64_t left_out = 0;
};

/// Lines of the present second for each event.
struct line_limit
{
    std::int64_t second = 0;
    std::map<event, event_line_counts> events;
};

/// Lines of one event that were left out because of the limit.
struct left_out_lines
{
    event event_id = event::process_started;
    std::uint64_t count = 0;
};

/// Counts a line. Returns whether it may be written.
bool admit_line(line_limit& limit, event event_id, bool is_routine);

/// Resets the counts when \p second is not the present one, and returns the
/// lines that were left out since the last reset.
std::vector<left_out_lines> begin_second(line_limit& limit,
                                         std::int64_t second);

} // namespace gooseberrycove::log

#endif
