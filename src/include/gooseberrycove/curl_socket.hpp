#ifndef GOOSEBERRYCOVE_CURL_SOCKET_HPP
#define GOOSEBERRYCOVE_CURL_SOCKET_HPP

#include <gooseberrycove/socket.hpp>

#include <curl/curl.h>

namespace gooseberrycove
{

/// CURLOPT_SOCKOPTFUNCTION that applies limit_silence() to each connection.
/// Without it a call on a silent connection waits for its own timeout.
inline int keepalive_socket_callback(void*, curl_socket_t socket, curlsocktype)
{
    set_keepalive_timeout(socket);
    return CURL_SOCKOPT_OK;
}

} // namespace gooseberrycove

#endif
