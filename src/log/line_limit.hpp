#ifndef GOOSEBERRYCOVE_LOG_LINE_LIMIT_HPP
#define GOOSEBERRYCOVE_LOG_LINE_LIMIT_HPP

#include <gooseberrycove/event.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace gooseberrycove::log
{

/// Lines of one event that are written in one second. At the target a daemon
/// takes 143 requests a second at the peak, each with one line of an event.
inline constexpr std::uint32_t most_routine_lines = 200;
/// The same for lines of failures and of changes in what the process believes.
inline constexpr std::uint32_t most_other_lines = 500;

struct event_lines
{
    std::uint32_t routine = 0;
    std::uint32_t other = 0;
    std::uint64_t left_out = 0;
};

/// Lines of the present second by event.
struct line_limit
{
    std::int64_t second = 0;
    std::map<event, event_lines> events;
};

struct left_out
{
    event what = event::process_started;
    std::uint64_t count = 0;
};

/// Whether a line may be written; counts it.
bool admit(line_limit& limit, event what, bool routine);

/// Begins a new second when \p second is one, and returns what was left out
/// of the last one.
std::vector<left_out> begin_second(line_limit& limit, std::int64_t second);

} // namespace gooseberrycove::log

#endif
