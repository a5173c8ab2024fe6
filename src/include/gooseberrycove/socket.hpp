#ifndef GOOSEBERRYCOVE_SOCKET_HPP
#define GOOSEBERRYCOVE_SOCKET_HPP

#include <gooseberrycove/types.hpp>

namespace gooseberrycove
{

/// Time after which the kernel closes a connection whose peer acknowledges
/// neither data nor keep-alive probes. A network partition gives no error:
/// without this limit the connection appears open until a call on it times out.
inline constexpr duration keepalive_timeout = std::chrono::seconds(3);

/// Sets the options that apply keepalive_timeout to a TCP connection, both idle
/// and with unacknowledged data. Returns false when an option cannot be set.
bool set_keepalive_timeout(int socket);

} // namespace gooseberrycove

#endif
