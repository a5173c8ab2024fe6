#ifndef GOOSEBERRYCOVE_DAEMON_SHUTDOWN_HPP
#define GOOSEBERRYCOVE_DAEMON_SHUTDOWN_HPP

#include <gooseberrycove/deployment.hpp>

namespace gooseberrycove
{

/// For log lines.
inline std::int64_t to_milliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Times of a shutdown.
struct shutdown_schedule
{
    /// Callers and the backend servers here are served until then.
    time_point notice_end;
    /// Requests that no backend server has begun are refused from then on.
    time_point refusal_start;
    /// Requests in flight are given up then.
    time_point drain_end;
};

/// Schedule of a shutdown that begins with a SIGTERM at \p now.
shutdown_schedule begin_shutdown(deployment_bounds const& bounds,
                                 time_point now);

/// Schedule of a process that cannot go on and stops at once.
shutdown_schedule stop_at_once(time_point now);

/// Applies a further SIGTERM at \p now: the time for requests in flight starts
/// anew. The other times stay, because the process may still be killed when the
/// time of the first signal is over.
void extend_shutdown(shutdown_schedule& schedule,
                     deployment_bounds const& bounds, time_point now);

} // namespace gooseberrycove

#endif
