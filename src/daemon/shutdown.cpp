#include "shutdown.hpp"

#include <algorithm>

namespace gooseberrycove
{

namespace
{

/// Enough for a round trip to the homes of the requests that are refused.
constexpr duration refusal_lead_time = std::chrono::seconds(1);

} // namespace

shutdown_schedule begin_shutdown(deployment_bounds const& bounds,
                                 time_point now)
{
    time_point const end = now + bounds.drain_limit;
    time_point const notice_end = now + bounds.drain_notice;
    return {notice_end, std::max(notice_end, end - refusal_lead_time), end};
}

shutdown_schedule stop_at_once(time_point now)
{
    return {now, now, now};
}

void extend_shutdown(shutdown_schedule& schedule,
                     deployment_bounds const& bounds, time_point now)
{
    schedule.drain_end = std::max(schedule.drain_end, now + bounds.drain_limit);
}

} // namespace gooseberrycove
