#ifndef GOOSEBERRYCOVE_HTTP_CONNECTIONS_HPP
#define GOOSEBERRYCOVE_HTTP_CONNECTIONS_HPP

#include <curl/curl.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace gooseberrycove::http_client
{

/// Both ends of a TCP connection.
struct connection_ends
{
    std::string_view remote_ip;
    std::string_view local_ip;
    int remote_port = 0;
    int local_port = 0;
};

/// Number of the latest requests on a connection whose ids are compared with
/// that of the next one.
inline constexpr std::size_t compared_ids = 32;

struct open_connection
{
    /// Numbers the connections of one client from 1 on.
    std::uint64_t number = 0;
    /// Requests that were sent on it.
    std::uint64_t requests = 0;
    curl_socket_t socket = CURL_SOCKET_BAD;
    /// Hashes of the ids of the latest requests, as a ring.
    std::array<std::uint64_t, compared_ids> ids{};
};

using connection_key = std::tuple<std::string, int, std::string, int>;

/// Open connections of one multi handle. libcurl holds a pointer to it, so it
/// must outlive that handle.
struct connection_table
{
    std::map<connection_key, open_connection> connections;
    std::unordered_map<curl_socket_t, connection_key> key_by_socket;
    std::uint64_t last_number = 0;
};

enum class connection_state : std::uint8_t
{
    usable,
    unread_bytes, ///< bytes arrived while no request was waiting
    closed,       ///< the server has closed it
    repeated_id,  ///< a request with the same id was sent on it
    unknown       ///< not in the table
};

std::string_view to_string(connection_state state);

/// The connection that libcurl chose for a transfer.
struct chosen_connection
{
    connection_table* table = nullptr;
    /// Socket that was opened for this transfer.
    curl_socket_t opened = CURL_SOCKET_BAD;
    /// 0 until libcurl has chosen a connection.
    std::uint64_t number = 0;
    /// Requests that were sent on it before this one.
    std::uint64_t earlier_requests = 0;
    connection_state state = connection_state::usable;
};

/// Makes libcurl enter the connections of \p easy in the table, with
/// set_keepalive_timeout() applied. \p chosen must not move until the transfer
/// is removed from its multi handle.
void track_connection(CURL* easy, chosen_connection& chosen);

/// To be called from CURLOPT_PREREQFUNCTION, when libcurl has chosen a
/// connection and has sent nothing of the request. A request may only be sent
/// on a usable connection: a response to it is read from the first byte that
/// is unread, whoever wrote it, and a second response to an earlier request
/// with the same id cannot be told apart.
/// \param request_id  empty for a request without an id
connection_state choose_connection(chosen_connection& chosen,
                                   connection_ends const& ends,
                                   std::string_view request_id);

} // namespace gooseberrycove::http_client

#endif
