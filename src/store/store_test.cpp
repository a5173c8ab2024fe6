#include "store/http_codec.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <thread>

using namespace gooseberrycove;
using namespace gooseberrycove::store;
using asio::ip::tcp;

namespace
{

operation const write_op = transaction{{{"k", 1}}, {{"k", "v"}}, {}};
operation const read_op = get_row{"a b/&"};

status decode_status(operation const& op, transfer_end const& end)
{
    return decode(op, 1, end).result;
}

/// Sends the next response on each connection, then closes it.
class scripted_server
{
public:
    explicit scripted_server(std::vector<std::string> responses)
        : m_acceptor(m_loop, {asio::ip::address_v4::loopback(), 0}),
          m_thread([this, responses = std::move(responses)]
                   { serve(responses); })
    {
    }

    ~scripted_server() { m_thread.join(); }

    std::string url() const
    {
        return fmt::format("http://127.0.0.1:{}",
                           m_acceptor.local_endpoint().port());
    }

private:
    void serve(std::vector<std::string> const& responses)
    {
        for (std::string const& response : responses)
        {
            tcp::socket socket = m_acceptor.accept();
            asio::streambuf request;
            asio::error_code failure;
            // Reads to the end of a transaction's body. Closing with unread
            // bytes would reset the connection and discard the response.
            asio::read_until(socket, request, "]}", failure);
            asio::write(socket, asio::buffer(response), failure);
            socket.shutdown(tcp::socket::shutdown_both, failure);
        }
    }

    asio::io_context m_loop;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Runs the operations in sequence and returns their replies.
std::vector<reply> call_all(std::string const& url,
                            std::vector<operation> const& operations)
{
    inbox requests(8);
    ring<reply> replies(8);
    client store_client(requests, url, "d1");
    std::thread thread([&] { store_client.run(); });
    std::vector<reply> received;
    for (operation const& op : operations)
    {
        requests.try_push({received.size(), op, std::chrono::seconds(20),
                           [&](reply&& result)
                           { replies.try_push(std::move(result)); }});
        replies.pop_until(received, clock_now() + std::chrono::seconds(60));
    }
    requests.close();
    thread.join();
    return received;
}

} // namespace

TEST_CASE("a write without a complete response is unknown, never refused")
{
    CHECK(decode_status(write_op, {false, true, 0, ""}) == status::unknown);
    CHECK(decode_status(write_op, {false, true, 200, "{"}) == status::unknown);
    CHECK(decode_status(write_op, {true, true, 200, "{\"vers"}) ==
          status::unknown);
    CHECK(decode_status(write_op, {true, true, 500, ""}) == status::unknown);
    CHECK(decode_status(write_op, {true, true, 409, "{}"}) == status::unknown);
    CHECK(decode_status(put_object{}, {true, true, 409, ""}) ==
          status::unknown);
}

TEST_CASE("a call that certainly wrote nothing is refused")
{
    CHECK(decode_status(write_op, {false, false, 0, ""}) == status::refused);
    for (int http_status : {400, 404, 413, 429, 503})
        CHECK(decode_status(write_op, {true, true, http_status, ""}) ==
              status::refused);
    CHECK(decode_status(read_op, {true, true, 404, ""}) == status::not_found);
}

TEST_CASE("replies contain rows, versions and the rows of failed conditions")
{
    reply result =
        decode(write_op, 5, {true, true, 200, R"({"versions":{"k":2}})"});
    CHECK(result.number == 5);
    CHECK(result.rows.at(0).version == 2);
    result = decode(write_op, 5,
                    {true, true, 409,
                     R"({"failed":[{"key":"k","version":9,"value":"w"}]})"});
    CHECK(result.result == status::condition_failed);
    CHECK(result.rows.at(0).value == "w");
}

TEST_CASE("keys are percent-encoded")
{
    CHECK(encode(read_op).target == "/table/row?key=a%20b%2F%26");
    CHECK(encode(scan_rows{"p/", "p/1", 5}).target ==
          "/table/scan?prefix=p%2F&after=p%2F1&limit=5");
}

TEST_CASE("a write is unknown when the connection closes before the response")
{
    // The first response is empty, the second truncated, the third complete.
    std::string const ok_body = R"({"versions":{"k":2}})";
    std::string const header = fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", ok_body.size());
    scripted_server server(
        {"", header + ok_body.substr(0, 5), header + ok_body});
    auto const replies = call_all(server.url(), {write_op, write_op, write_op});
    REQUIRE(replies.size() == 3);
    CHECK(replies[0].result == status::unknown);
    CHECK(replies[1].result == status::unknown);
    CHECK(replies[2].result == status::ok);
}

TEST_CASE("a call to a port without a listener is refused")
{
    asio::io_context loop;
    tcp::socket bound(loop, {asio::ip::address_v4::loopback(), 0});
    auto const url =
        fmt::format("http://127.0.0.1:{}", bound.local_endpoint().port());
    CHECK(call_all(url, {write_op}).at(0).result == status::refused);
}

TEST_CASE("a watch that the store holds does not keep a stopped client running")
{
    asio::io_context loop;
    // Accepts connections in the kernel and never responds.
    tcp::acceptor store(loop, {asio::ip::address_v4::loopback(), 0});
    inbox requests(8);
    client store_client(
        requests,
        fmt::format("http://127.0.0.1:{}", store.local_endpoint().port()),
        "d1");
    std::thread thread([&] { store_client.run(); });
    for (operation const& op :
         {operation(watch_row{"k", 1, std::chrono::seconds(3)}), write_op})
        requests.try_push({1, op, std::chrono::seconds(4), [](reply&&) {}});
    tcp::socket const watch = store.accept();
    time_point const closed_at = clock_now();
    requests.close();
    thread.join();
    CHECK(clock_now() - closed_at < std::chrono::seconds(1));
}

TEST_CASE("a write in flight at the stop of the client gets its reply")
{
    std::string const body = R"({"versions":{"k":2}})";
    scripted_server server({fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body)});
    inbox requests(8);
    client store_client(requests, server.url(), "d1");
    status result = status::unknown;
    requests.try_push({1, write_op, std::chrono::seconds(20),
                       [&](reply&& received) { result = received.result; }});
    requests.close();
    store_client.run();
    CHECK(result == status::ok);
}

TEST_CASE("bytes that follow a reply are not taken for the next read's reply")
{
    asio::io_context loop;
    tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
    auto const answer = [](std::string_view key)
    {
        std::string const body =
            fmt::format(R"({{"key":"{}","version":7,"value":"v"}})", key);
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                           body.size(), body);
    };
    // Each request gets its reply and, late, the one to a call before it.
    std::thread server(
        [&]
        {
            std::vector<tcp::socket> sockets;
            for (std::size_t read = 0; read < 2; ++read)
            {
                asio::error_code failure;
                std::string text;
                if (!sockets.empty())
                    asio::read_until(sockets.back(), asio::dynamic_buffer(text),
                                     "\r\n\r\n", failure);
                if (text.empty())
                {
                    sockets.push_back(acceptor.accept());
                    asio::read_until(sockets.back(), asio::dynamic_buffer(text),
                                     "\r\n\r\n", failure);
                }
                auto const begin = text.find("key=") + 4;
                std::string const key =
                    text.substr(begin, text.find(' ', begin) - begin);
                asio::write(sockets.back(), asio::buffer(answer(key)), failure);
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
                asio::write(sockets.back(), asio::buffer(answer("old")),
                            failure);
            }
        });
    auto const replies = call_all(
        fmt::format("http://127.0.0.1:{}", acceptor.local_endpoint().port()),
        {get_row{"a"}, get_row{"b"}});
    server.join();
    REQUIRE(replies.size() == 2);
    CHECK(replies[0].rows.at(0).key == "a");
    CHECK(replies[1].rows.at(0).key == "b");
}

TEST_CASE("replies carry the number of the era, or 0 without a valid one")
{
    auto const response = [](std::string_view field)
    {
        std::string const body = R"({"versions":{"k":2}})";
        return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
                           field, body.size(), body);
    };
    scripted_server server({response("store-era: 12\r\n"), response(""),
                            response("Store-Era: 3x\r\n")});
    auto const replies = call_all(server.url(), {write_op, write_op, write_op});
    REQUIRE(replies.size() == 3);
    CHECK(replies[0].era == 12);
    CHECK(replies[1].era == 0);
    CHECK(replies[2].era == 0);
}

TEST_CASE("an era is newer only after a reply of an earlier one")
{
    reply seen;
    seen.result = status::ok;
    era_position position;
    seen.era = 4;
    CHECK(observe_era(position, seen) == era_change::none);
    seen.era = 5;
    CHECK(observe_era(position, seen) == era_change::newer);
    CHECK(observe_era(position, seen) == era_change::none);
    seen.era = 4;
    CHECK(observe_era(position, seen) == era_change::older);
    era_position without_era;
    seen.era = 0;
    CHECK(observe_era(without_era, seen) == era_change::none);
    seen.era = 1;
    CHECK(observe_era(without_era, seen) == era_change::newer);
}
