#ifndef GOOSEBERRYCOVE_CURL_SOCKET_HPP
#define GOOSEBERRYCOVE_CURL_SOCKET_HPP

#include <gooseberrycove/socket.hpp>

#include <curl/curl.h>

namespace gooseberrycove
{

/// CURLOPT_SOCKOPTFUNCTION that calls set_keepalive_timeout() for each
/// connection. Without it a call on an unresponsive connection waits for the
/// call's own timeout.
inline int keepalive_socket_callback(void*, curl_socket_t socket, curlsocktype)
{
    set_keepalive_timeout(socket);
    return CURL_SOCKOPT_OK;
}

} // namespace gooseberrycove

#endif
