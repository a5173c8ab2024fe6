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
    /// Least time between SIGTERM and the exit, in which late senders get an
    /// explicit refusal instead of a lost connection.
    duration drain_time{2'500'000};
};

/// Interval at which the announcing duty is told the load.
inline constexpr duration load_period{500'000};

/// Work that does not end after SIGTERM is given up after this time.
inline constexpr duration drain_limit{30'000'000};

/// Serves work over HTTP on the calling thread until SIGTERM or SIGINT has
/// drained the server.
void run_http(http_options const& options, work_limits const& limits,
              announce_inbox& announcer, evidence::history_log& history);

} // namespace gooseberrycove::fake_server

#endif
