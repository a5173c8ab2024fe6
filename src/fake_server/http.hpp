#ifndef GOOSEBERRYCOVE_FAKE_SERVER_HTTP_HPP
#define GOOSEBERRYCOVE_FAKE_SERVER_HTTP_HPP

#include "evidence/history.hpp"
#include "fake_server/announce.hpp"
#include "fake_server/work.hpp"

#include <string>

namespace gooseberrycove::fake_server
{

struct http_options
{
    /// `ip:port` to listen at.
    std::string listen;
    std::size_t connections = 400;
    /// Minimum time between SIGTERM and the exit. Work that arrives in it gets
    /// an explicit refusal instead of a lost connection.
    duration min_drain_time{2'500'000};
    /// Header that responses to work that ran bear; none when empty.
    std::string stamp;
    /// Requests a second that responses name in `Server-Limit`; 0 for none.
    /// The stand-in does not keep to it itself.
    double limit = 0;
    /// Responses have the header `Server-Leaving: 1`.
    bool is_leaving = false;
};

/// Interval of the state updates to the announcing duty.
inline constexpr duration load_period{500'000};

/// Maximum time between SIGTERM and the exit; work that is still running then
/// is abandoned.
inline constexpr duration max_drain_time{30'000'000};

/// Serves work over HTTP on the calling thread until SIGTERM or SIGINT has
/// drained the server.
void run_http(http_options const& options, work_limits const& limits,
              announce_inbox& announcer, evidence::history_log& history);

} // namespace gooseberrycove::fake_server

#endif
