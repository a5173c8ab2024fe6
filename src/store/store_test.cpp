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

status decode_status(operation const& what, transfer_end const& end)
{
    return decode(what, 1, end).result;
}

/// Answers each connection with the next text, then closes it.
class scripted_server
{
public:
    explicit scripted_server(std::vector<std::string> answers)
        : m_acceptor(m_loop, {asio::ip::address_v4::loopback(), 0}),
          m_thread([this, answers = std::move(answers)] { serve(answers); })
    {
    }

    ~scripted_server() { m_thread.join(); }

    std::string url() const
    {
        return fmt::format("http://127.0.0.1:{}",
                           m_acceptor.local_endpoint().port());
    }

private:
    void serve(std::vector<std::string> const& answers)
    {
        for (std::string const& answer : answers)
        {
            tcp::socket socket = m_acceptor.accept();
            asio::streambuf request;
            asio::error_code failure;
            // The end of a transaction's body. Unread bytes would make the
            // close reset the connection and drop the answer.
            asio::read_until(socket, request, "]}", failure);
            asio::write(socket, asio::buffer(answer), failure);
            socket.shutdown(tcp::socket::shutdown_both, failure);
        }
    }

    asio::io_context m_loop;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Runs the calls one after the other and returns their replies.
std::vector<reply> call_all(std::string const& url,
                            std::vector<operation> const& operations)
{
    inbox requests(8);
    ring<reply> replies(8);
    client platform(requests, url, "d1");
    std::thread thread([&] { platform.run(); });
    std::vector<reply> out;
    for (operation const& what : operations)
    {
        requests.try_push({out.size(), what, std::chrono::seconds(20),
                           [&](reply&& one)
                           { replies.try_push(std::move(one)); }});
        replies.pop_until(out, clock_now() + std::chrono::seconds(60));
    }
    requests.close();
    thread.join();
    return out;
}

} // namespace

TEST_CASE("a write without a complete reply is unknown, never refused")
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

TEST_CASE("calls that certainly wrote nothing are refused")
{
    CHECK(decode_status(write_op, {false, false, 0, ""}) == status::refused);
    for (int code : {400, 404, 413, 429, 503})
        CHECK(decode_status(write_op, {true, true, code, ""}) ==
              status::refused);
    CHECK(decode_status(read_op, {true, true, 404, ""}) == status::not_found);
}

TEST_CASE("replies carry rows, versions and the rows that failed")
{
    reply one =
        decode(write_op, 5, {true, true, 200, R"({"versions":{"k":2}})"});
    CHECK(one.number == 5);
    CHECK(one.rows.at(0).version == 2);
    one = decode(write_op, 5,
                 {true, true, 409,
                  R"({"failed":[{"key":"k","version":9,"value":"w"}]})"});
    CHECK(one.result == status::condition_failed);
    CHECK(one.rows.at(0).value == "w");
}

TEST_CASE("keys are percent-encoded")
{
    CHECK(encode(read_op).target == "/table/row?key=a%20b%2F%26");
    CHECK(encode(scan_rows{"p/", "p/1", 5}).target ==
          "/table/scan?prefix=p%2F&after=p%2F1&limit=5");
}

TEST_CASE("a connection that closes after the request makes a write unknown")
{
    // The second answer is cut short, the third is whole.
    std::string const ok = R"({"versions":{"k":2}})";
    std::string const head =
        fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", ok.size());
    scripted_server server({"", head + ok.substr(0, 5), head + ok});
    auto const replies = call_all(server.url(), {write_op, write_op, write_op});
    REQUIRE(replies.size() == 3);
    CHECK(replies[0].result == status::unknown);
    CHECK(replies[1].result == status::unknown);
    CHECK(replies[2].result == status::ok);
}

TEST_CASE("a call to a port without listener is refused")
{
    asio::io_context loop;
    tcp::socket bound(loop, {asio::ip::address_v4::loopback(), 0});
    auto const url =
        fmt::format("http://127.0.0.1:{}", bound.local_endpoint().port());
    CHECK(call_all(url, {write_op}).at(0).result == status::refused);
}
