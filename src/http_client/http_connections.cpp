#include <gooseberrycove/http_connections.hpp>
#include <gooseberrycove/socket.hpp>
#include <gooseberrycove/types.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace gooseberrycove::http_client
{

namespace
{

int on_opened(void* context, curl_socket_t socket, curlsocktype)
{
    static_cast<chosen_connection*>(context)->opened = socket;
    set_keepalive_timeout(socket);
    return CURL_SOCKOPT_OK;
}

int on_closing(void* context, curl_socket_t socket)
{
    connection_table& table = *static_cast<connection_table*>(context);
    auto const found = table.key_by_socket.find(socket);
    if (found != table.key_by_socket.end())
    {
        table.connections.erase(found->second);
        table.key_by_socket.erase(found);
    }
    return ::close(socket);
}

connection_key make_key(connection_ends const& ends)
{
    return {std::string(ends.remote_ip), ends.remote_port,
            std::string(ends.local_ip), ends.local_port};
}

connection_state read_state(curl_socket_t socket)
{
    char byte = 0;
    ssize_t const size =
        ::recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (size > 0)
        return connection_state::unread_bytes;
    bool const is_silent =
        size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return is_silent ? connection_state::usable : connection_state::closed;
}

} // namespace

std::string_view to_string(connection_state state)
{
    switch (state)
    {
    case connection_state::usable:
        return "usable";
    case connection_state::unread_bytes:
        return "unread_bytes";
    case connection_state::closed:
        return "closed";
    case connection_state::repeated_id:
        return "repeated_id";
    case connection_state::unknown:
        return "unknown";
    }
    return "unknown";
}

void track_connection(CURL* easy, chosen_connection& chosen)
{
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &on_opened);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &chosen);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &on_closing);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, chosen.table);
}

connection_state choose_connection(chosen_connection& chosen,
                                   connection_ends const& ends,
                                   std::string_view request_id)
{
    connection_table& table = *chosen.table;
    connection_key const key = make_key(ends);
    if (chosen.opened != CURL_SOCKET_BAD)
    {
        table.connections[key] = {
            .number = ++table.last_number, .socket = chosen.opened, .ids = {}};
        table.key_by_socket[chosen.opened] = key;
        chosen.opened = CURL_SOCKET_BAD;
    }
    auto const found = table.connections.find(key);
    if (found == table.connections.end())
        return chosen.state = connection_state::unknown;
    open_connection& connection = found->second;
    chosen.number = connection.number;
    chosen.earlier_requests = connection.requests;
    chosen.state = read_state(connection.socket);
    if (chosen.state != connection_state::usable)
        return chosen.state;
    std::uint64_t const id = hash_name(request_id);
    if (!request_id.empty() &&
        std::ranges::find(connection.ids, id) != connection.ids.end())
        return chosen.state = connection_state::repeated_id;
    connection.ids[connection.requests++ % compared_ids] = id;
    return chosen.state;
}

} // namespace gooseberrycove::http_client
