#include "log/line_limit.hpp"

namespace gooseberrycove::log
{

bool admit_line(line_limit& limit, event event_id, bool is_routine)
{
    event_line_counts& counts = limit.events[event_id];
    std::uint32_t& count = is_routine ? counts.routine : counts.other;
    if (count >= (is_routine ? max_routine_lines : max_other_lines))
    {
        ++counts.left_out;
        return false;
    }
    ++count;
    return true;
}

std::vector<left_out_lines> begin_second(line_limit& limit, std::int64_t second)
{
    std::vector<left_out_lines> result;
    if (second == limit.second)
        return result;
    for (auto const& [event_id, counts] : limit.events)
    {
        if (counts.left_out > 0)
            result.push_back({event_id, counts.left_out});
    }
    limit.events.clear();
    limit.second = second;
    return result;
}

} // namespace gooseberrycove::log
