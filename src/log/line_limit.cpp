#include "log/line_limit.hpp"

namespace gooseberrycove::log
{

bool admit(line_limit& limit, event what, bool routine)
{
    event_lines& lines = limit.events[what];
    std::uint32_t& count = routine ? lines.routine : lines.other;
    if (count >= (routine ? most_routine_lines : most_other_lines))
    {
        ++lines.left_out;
        return false;
    }
    ++count;
    return true;
}

std::vector<left_out> begin_second(line_limit& limit, std::int64_t second)
{
    std::vector<left_out> result;
    if (second == limit.second)
        return result;
    for (auto const& [what, lines] : limit.events)
    {
        if (lines.left_out > 0)
            result.push_back({what, lines.left_out});
    }
    limit.events.clear();
    limit.second = second;
    return result;
}

} // namespace gooseberrycove::log
