#include "admin_thread.hpp"
#include <gooseberrycove/settings.hpp>

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <thread>

using namespace gooseberrycove;
using namespace std::chrono_literals;

namespace
{

constexpr auto wait_limit = 10s;

std::string free_address()
{
    asio::io_context context;
    asio::ip::tcp::acceptor const acceptor(
        context, {asio::ip::make_address("127.0.0.1"), 0});
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

std::string key_path()
{
    std::filesystem::path const path =
        std::filesystem::temp_directory_path() / "gcove_admin_test.key";
    std::ofstream(path) << "secret\n";
    return path.string();
}

/// The admin duty on its own thread; the test takes the place of members.
class test_admin
{
public:
    test_admin() : m_keys(key_path())
    {
        m_setup.address = free_address();
        m_setup.admin_keys = &m_keys;
        m_setup.announce_keys = &m_keys;
        m_setup.counts = &m_counts;
        m_setup.members = &members;
        m_setup.is_ready = &m_is_ready;
        m_setup.is_draining = &m_is_draining;
        m_thread = std::thread([this] { admin::run(messages, m_setup); });
    }

    ~test_admin() { stop(); }

    /// Ends the admin thread.
    void stop()
    {
        messages.close();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Sends a request on a new connection.
    void send_request(asio::ip::tcp::socket& socket,
                      std::string const& line = "GET /servers",
                      std::string const& body = "") const
    {
        auto const [host, port] = split_address(m_setup.address);
        time_point const end = clock_now() + wait_limit;
        asio::error_code failure;
        do
        {
            socket.close();
            socket.connect({asio::ip::make_address(host), port}, failure);
        } while (failure && clock_now() < end);
        REQUIRE_FALSE(failure);
        std::string const text =
            line +
            " HTTP/1.1\r\nHost: admin\r\n"
            "Authorization: Bearer secret\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::write(socket, asio::buffer(text));
    }

    template <class Request = members::list_request>
    Request take_request()
    {
        std::vector<members::message> batch;
        members.pop_until(batch, clock_now() + wait_limit);
        REQUIRE(batch.size() == 1);
        return std::get<Request>(std::move(batch.front()));
    }

    admin::inbox messages{16};
    members::inbox members{16};

private:
    key_set m_keys;
    metrics m_counts;
    std::atomic<bool> m_is_ready{true};
    std::atomic<bool> m_is_draining{false};
    admin::wiring m_setup;
    std::thread m_thread;
};

members::listing one_server()
{
    members::listing directory;
    directory.servers.emplace_back().server = "server-1";
    return directory;
}

} // namespace

TEST_CASE("the reply of another duty is sent to the operator")
{
    test_admin admin;
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    admin.send_request(socket);
    admin.take_request().deliver(one_server());
    std::string bytes;
    asio::read_until(socket, asio::dynamic_buffer(bytes), "server-1");
    CHECK(bytes.starts_with("HTTP/1.1 200"));
}

TEST_CASE("the name of a server in a path is decoded")
{
    // Guards against a server that refuses each request because the name in its
    // header is the escaped one of the path.
    test_admin admin;
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    admin.send_request(socket, "POST /announce/desk%207%2Fa+b%C3%BC",
                       R"({"service":"s","address":"127.0.0.1:9","slots":1,
                           "state":"serving"})");
    CHECK(admin.take_request<members::announce_request>().details.server ==
          "desk 7/a+b\u00fc");
    admin.send_request(socket, "POST /withdraw/desk%207");
    CHECK(admin.take_request<members::announce_request>().details.server ==
          "desk 7");
    admin.send_request(socket, "POST /servers/desk%207/drain");
    CHECK(admin.take_request<members::drain_request>().server == "desk 7");
    // A line end in the name would start a header of its own.
    for (char const* const name : {"a%0D%0AX:b", "a%0A", "a%7F", "%20a"})
    {
        admin.send_request(socket, std::string("POST /withdraw/") + name);
        std::string bytes;
        asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n");
        CHECK(bytes.starts_with("HTTP/1.1 400"));
    }
}

TEST_CASE("a reply that comes after the admin thread has ended is dropped")
{
    // Guards against a reply of a duty that is stopped later, which was posted
    // to the destroyed event loop of the admin thread. Shown by
    // AddressSanitizer.
    test_admin admin;
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    admin.send_request(socket);
    members::list_request const request = admin.take_request();
    admin.stop();
    request.deliver(one_server());
    std::string bytes;
    asio::error_code failure;
    asio::read(socket, asio::dynamic_buffer(bytes), failure);
    CHECK(bytes.empty());
}
