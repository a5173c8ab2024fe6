#include <gooseberrycove/socket.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gooseberrycove
{

namespace
{

bool set_option(int socket, int level, int option, int value)
{
    return ::setsockopt(socket, level, option, &value, sizeof(value)) == 0;
}

} // namespace

bool set_keepalive_timeout(int socket)
{
    using namespace std::chrono;
    // The first probe is sent after one idle second, then one per second.
    constexpr int probe_seconds = 1;
    constexpr int probes =
        static_cast<int>(duration_cast<seconds>(keepalive_timeout).count()) -
        probe_seconds;
    constexpr int unacknowledged_ms = static_cast<int>(
        duration_cast<milliseconds>(keepalive_timeout).count());
    return set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1) &&
           set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_seconds) &&
           set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_seconds) &&
           set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probes) &&
           set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
}

} // namespace gooseberrycove
