#ifndef GOOSEBERRYCOVE_SOCKET_HPP
#define GOOSEBERRYCOVE_SOCKET_HPP

#include <gooseberrycove/types.hpp>

namespace gooseberrycove
{

/// Time after which a connection ends when the other side acknowledges neither
/// data nor keep-alive probes. Behind a partition a connection goes silent for
/// good, and without this limit it looks open until a call on it times out.
inline constexpr duration keepalive_timeout = std::chrono::seconds(3);

/// Limits the silence of a TCP connection to connection_silence, with and
/// without data on the way. Returns false when the system refuses an option.
bool set_keepalive_timeout(int socket);

} // namespace gooseberrycove

#endif
