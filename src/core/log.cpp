#include <gooseberrycove/log.hpp>

namespace gooseberrycove
{

namespace
{

std::atomic<severity> minimum_level{severity::info};

void submit(severity level, event_line const& line)
{
    if (level < minimum_level.load())
        return;
    log_record record{std::chrono::system_clock::now(), level, line.id(),
                      line.is_routine(), line.text()};
    if (!process_log().try_push(std::move(record)))
        ++process_log_counts().dropped;
}

} // namespace

log_ring& process_log()
{
    static log_ring lines(log_ring_capacity);
    return lines;
}

log_counts& process_log_counts()
{
    static log_counts counts;
    return counts;
}

void set_log_level(severity minimum)
{
    minimum_level = minimum;
}

void log_info(event_line const& line)
{
    submit(severity::info, line);
}

void log_warning(event_line const& line)
{
    submit(severity::warning, line);
}

void log_error(event_line const& line)
{
    submit(severity::error, line);
}

} // namespace gooseberrycove
