#include <gooseberrycove/http_connections.hpp>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace gooseberrycove::http_client;
using asio::ip::tcp;

namespace
{

constexpr connection_ends test_ends{"127.0.0.1", "127.0.0.1", 80, 4000};

/// Both ends of a connection on loopback.
struct socket_pair
{
    socket_pair()
    {
        tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        client.connect(acceptor.local_endpoint());
        server = acceptor.accept();
    }

    asio::io_context context;
    tcp::socket client{context};
    tcp::socket server{context};
};

/// Chooses the connection for a request; the first one has opened it.
chosen_connection choose(connection_table& table, tcp::socket& socket,
                         bool is_first, std::string_view request_id = "")
{
    chosen_connection chosen;
    chosen.table = &table;
    if (is_first)
        chosen.opened = socket.native_handle();
    choose_connection(chosen, test_ends, request_id);
    return chosen;
}

} // namespace

TEST_CASE("requests on a silent connection are counted")
{
    socket_pair sockets;
    connection_table table;
    for (std::uint64_t earlier = 0; earlier < 3; ++earlier)
    {
        chosen_connection const chosen =
            choose(table, sockets.client, earlier == 0);
        CHECK(chosen.state == connection_state::usable);
        CHECK(chosen.number == 1);
        CHECK(chosen.earlier_requests == earlier);
    }
}

TEST_CASE("a connection with unread bytes takes no request, also a new one")
{
    // Guards against bytes that are read as the response to a later request.
    bool const is_first = GENERATE(true, false);
    socket_pair sockets;
    connection_table table;
    if (!is_first)
        choose(table, sockets.client, true);
    asio::write(sockets.server, asio::buffer("x", 1));
    sockets.client.wait(tcp::socket::wait_read);
    CHECK(choose(table, sockets.client, is_first).state ==
          connection_state::unread_bytes);
}

TEST_CASE("a second answer to an id is not taken for the next request with it")
{
    socket_pair sockets;
    connection_table table;
    CHECK(choose(table, sockets.client, true, "r1").state ==
          connection_state::usable);
    CHECK(choose(table, sockets.client, false, "r2").state ==
          connection_state::usable);
    CHECK(choose(table, sockets.client, false, "r1").state ==
          connection_state::repeated_id);
}

TEST_CASE("a connection that the server has closed takes no request")
{
    socket_pair sockets;
    connection_table table;
    choose(table, sockets.client, true);
    sockets.server.close();
    sockets.client.wait(tcp::socket::wait_read);
    CHECK(choose(table, sockets.client, false).state ==
          connection_state::closed);
}

TEST_CASE("a connection that is not in the table takes no request")
{
    socket_pair sockets;
    connection_table table;
    CHECK(choose(table, sockets.client, false).state ==
          connection_state::unknown);
}

TEST_CASE("a connection leaves the table when libcurl closes it")
{
    // Guards against a table that grows with each connection, and against an
    // entry whose socket belongs to another connection by now.
    asio::io_context context;
    tcp::acceptor const acceptor(context,
                                 {asio::ip::address_v4::loopback(), 0});
    connection_table table;
    CURL* const easy = curl_easy_init();
    chosen_connection chosen;
    chosen.table = &table;
    track_connection(easy, chosen);
    curl_easy_setopt(
        easy, CURLOPT_URL,
        fmt::format("http://127.0.0.1:{}", acceptor.local_endpoint().port())
            .c_str());
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &chosen);
    curl_easy_setopt(
        easy, CURLOPT_PREREQFUNCTION,
        +[](void* context_pointer, char* remote_ip, char* local_ip,
            int remote_port, int local_port)
        {
            auto& used = *static_cast<chosen_connection*>(context_pointer);
            choose_connection(
                used, {remote_ip, local_ip, remote_port, local_port}, "r1");
            CHECK(used.table->connections.size() == 1);
            return CURL_PREREQFUNC_ABORT;
        });
    curl_easy_perform(easy);
    CHECK(chosen.number == 1);
    curl_easy_cleanup(easy);
    CHECK(table.connections.empty());
    CHECK(table.key_by_socket.empty());
}
