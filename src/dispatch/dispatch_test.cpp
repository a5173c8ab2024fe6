#include "dispatch_thread.hpp"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>

using namespace gooseberrycove;
using namespace gooseberrycove::dispatch;

namespace
{

/// Backend server whose response depends on the path of the request.
class test_server
{
public:
    test_server() : m_thread([this] { accept(); }) {}
    ~test_server()
    {
        asio::post(m_context, [this] { m_context.stop(); });
        m_thread.join();
    }
    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

    std::atomic<int> requests = 0;
    std::atomic<int> connections = 0;
    std::atomic<int> closed = 0;
    std::atomic<bool> has_headers = false;
    /// Bytes written of responses without an end.
    std::atomic<std::size_t> endless_bytes = 0;
    static constexpr std::size_t max_endless_bytes = std::size_t{64} << 20;

private:
    using socket_ptr = std::shared_ptr<asio::ip::tcp::socket>;

    void accept()
    {
        accept_next();
        m_context.run();
    }
    void accept_next()
    {
        auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
        m_acceptor.async_accept(*socket,
                                [this, socket](asio::error_code code)
                                {
                                    if (code)
                                        return;
                                    ++connections;
                                    read(socket, 0);
                                    accept_next();
                                });
    }
    void read(socket_ptr socket, int served_count)
    {
        auto text = std::make_shared<std::string>();
        asio::async_read_until(
            *socket, asio::dynamic_buffer(*text), "\r\n\r\n",
            [this, socket, text, served_count](asio::error_code code,
                                               std::size_t)
            {
                if (code)
                {
                    ++closed;
                    return;
                }
                ++requests;
                has_headers = text->find("X-Deadline-Ms: ") != text->npos &&
                              text->find("Idempotency-Key: k1") != text->npos;
                respond(socket, *text, served_count);
            });
    }
    void respond(socket_ptr const& socket, std::string const& text,
                 int served_count)
    {
        auto const begin = text.find(' ') + 1;
        std::string const path =
            text.substr(begin, text.find(' ', begin) - begin);
        if (path.starts_with("/endless"))
            return write_endlessly(*socket, path);
        bool keep_open = true;
        std::string response = response_for(path, served_count, keep_open);
        auto const status_end = response.find("\r\n");
        auto const id = text.find("X-Request-Id: ");
        if (status_end != response.npos && id != text.npos)
            response.insert(status_end,
                            "\r\n" + text.substr(id, text.find('\r', id) - id));
        // The client closes the connection in the middle of a response that
        // exceeds a limit.
        asio::error_code failure;
        if (path != "/stall" && !response.empty())
            asio::write(*socket, asio::buffer(response), failure);
        if (keep_open)
            read(socket, served_count + 1);
    }
    /// Writes until the client closes the connection, at most
    /// max_endless_bytes.
    void write_endlessly(asio::ip::tcp::socket& socket, std::string const& path)
    {
        std::string const line = "X-Filler: " + std::string(1000, 'x') + "\r\n";
        std::string start = "HTTP/1.1 200 OK\r\n";
        if (path == "/endless_body")
            start += "\r\n";
        if (path == "/endless_noise")
            start = "no answer";
        asio::error_code failure;
        asio::write(socket, asio::buffer(start), failure);
        while (!failure && endless_bytes < max_endless_bytes)
            endless_bytes += asio::write(socket, asio::buffer(line), failure);
        ++closed;
    }
    static std::string response_for(std::string const& path, int served_count,
                                    bool& keep_open)
    {
        std::string const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        keep_open = path == "/ok" || path == "/healthz" || path == "/stall" ||
                    path == "/chunked" || path == "/large_then_stall" ||
                    (path == "/once" && served_count == 0);
        if (path == "/drop" || (path == "/once" && served_count > 0))
            return {};
        if (path == "/chunked")
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nok\r\n0\r\n\r\n";
        if (path == "/cut_chunked")
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nok\r\n";
        if (path == "/short")
            return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
        if (path == "/until_close")
            return "HTTP/1.1 200 OK\r\n\r\nok";
        if (path == "/healthz")
            return "HTTP/1.1 200 OK\r\nX-Instance-Id: s1\r\n"
                   "Content-Length: 0\r\n\r\n";
        if (path == "/error")
            return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
        if (path == "/busy")
            return "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
        if (path == "/shed")
            return "HTTP/1.1 503 No\r\nX-Outcome: not_run\r\n"
                   "Content-Length: 0\r\n\r\n";
        if (path.starts_with("/status/"))
            return "HTTP/1.1 " + path.substr(8) +
                   " X\r\nX-Outcome: not_run\r\nContent-Length: 0\r\n\r\n";
        // A body of 1 MiB without the last byte.
        if (path == "/large_then_stall")
            return "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" +
                   std::string(1048575, 'x');
        if (path == "/big")
            return "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" +
                   std::string(1048577, 'x');
        return ok;
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor{m_context,
                                       {asio::ip::address_v4::loopback(), 0}};
    std::thread m_thread;
};

/// The dispatch duty with its rings.
struct fixture
{
    inbox requests{64};
    admission::inbox results{64};
    health::inbox probes{64};
    server_http_options options;
    std::thread duty;

    explicit fixture(server_http_options const& used_options = {})
        : options(used_options),
          duty(
              [this] {
                  run(requests, {&results, &probes, options});
              })
    {
    }
    ~fixture()
    {
        requests.close();
        duty.join();
    }
    void send(std::string const& address, std::string const& path,
              bool repeatable = true, int timeout_ms = 5000, int ticket = 1)
    {
        start job;
        job.ticket = static_cast<std::uint64_t>(ticket);
        job.address = address;
        job.request.caller_id = fmt::format("r{}", ++m_last_id);
        job.request.method = "POST";
        job.request.target = path;
        job.request.idempotency_key = "k1";
        job.request.repeatable = repeatable;
        job.request.deadline = clock_now() + duration(timeout_ms * 1000);
        REQUIRE(requests.try_push(std::move(job)));
    }
    finished wait_for_result()
    {
        if (m_received.empty())
            results.pop_until(m_received,
                              clock_now() + std::chrono::seconds(20));
        REQUIRE(!m_received.empty());
        finished const result = std::get<finished>(m_received.front());
        m_received.erase(m_received.begin());
        return result;
    }

private:
    int m_last_id = 0;
    std::vector<admission::message> m_received;
};

} // namespace

TEST_CASE("a transfer is classified by how it ended")
{
    // Guards against a truncated response that is forwarded as complete, and
    // against "not run" for a request that the server may have received.
    struct row
    {
        char const* path;
        result_class expected;
        int status;
        int timeout_ms = 5000;
    };
    auto const transfer_case = GENERATE(
        row{"/ok", result_class::answered, 200},
        row{"/chunked", result_class::answered, 200},
        row{"/error", result_class::answered, 500},
        row{"/busy", result_class::answered, 503},
        row{"/shed", result_class::refused_not_run, 503},
        row{"/short", result_class::cut, 0},
        row{"/cut_chunked", result_class::cut, 0},
        row{"/until_close", result_class::cut, 0},
        row{"/drop", result_class::cut, 0}, row{"/big", result_class::cut, 0},
        row{"/stall", result_class::timed_out, 0, 50});
    bool const repeatable = GENERATE(true, false);
    CAPTURE(transfer_case.path, repeatable);
    test_server server;
    fixture duty;
    duty.send(server.address(), transfer_case.path, repeatable,
              transfer_case.timeout_ms);
    finished const result = duty.wait_for_result();
    CHECK(result.result == transfer_case.expected);
    CHECK(result.status == transfer_case.status);
    CHECK(server.requests == 1);
    CHECK(server.has_headers);
}

TEST_CASE("a refused connection or passed deadline is reported as not run")
{
    std::string unused;
    {
        test_server closed_server;
        unused = closed_server.address();
    }
    int const timeout_ms = GENERATE(5000, -1);
    fixture duty;
    duty.send(unused, "/ok", false, timeout_ms);
    CHECK(duty.wait_for_result().result == result_class::connect_failed);
}

TEST_CASE("a non-repeatable request is sent once when its connection fails")
{
    // Guards against a second run: libcurl resends a request when a reused
    // connection is closed without a response.
    test_server server;
    fixture duty;
    duty.send(server.address(), "/once");
    CHECK(duty.wait_for_result().result == result_class::answered);
    duty.send(server.address(), "/drop", false);
    CHECK(duty.wait_for_result().result == result_class::cut);
    CHECK(server.requests == 2);
}

TEST_CASE("libcurl does not retry a repeatable request")
{
    // Guards against up to six copies of one request at a failed server. Only
    // routing retries, within the limits of route and service.
    test_server server;
    fixture duty;
    duty.send(server.address(), "/once");
    CHECK(duty.wait_for_result().result == result_class::answered);
    duty.send(server.address(), "/once");
    CHECK(duty.wait_for_result().result == result_class::cut);
    CHECK(server.requests == 2);
}

TEST_CASE("sequential requests reuse one connection")
{
    test_server server;
    fixture duty;
    for (int i = 0; i < 20; ++i)
    {
        duty.send(server.address(), "/ok");
        CHECK(duty.wait_for_result().result == result_class::answered);
    }
    CHECK(server.connections == 1);
}

TEST_CASE("cancelling a transfer closes its connection")
{
    test_server server;
    fixture duty;
    duty.send(server.address(), "/stall", true, 20000, 7);
    while (server.requests == 0)
        std::this_thread::sleep_for(duration(1000));
    REQUIRE(duty.requests.try_push(cancel{7}));
    CHECK(duty.wait_for_result().result == result_class::cancelled);
    while (server.closed == 0)
        std::this_thread::sleep_for(duration(1000));
}

TEST_CASE("transfers in flight finish after the inbox is closed")
{
    test_server server;
    fixture duty;
    duty.send(server.address(), "/stall", true, 100);
    duty.requests.close();
    CHECK(duty.wait_for_result().result == result_class::timed_out);
}

TEST_CASE("the result of a probe is sent to health")
{
    test_server server;
    fixture duty;
    REQUIRE(duty.requests.try_push(probe{"s1", server.address()}));
    std::vector<health::message> received;
    duty.probes.pop_until(received, clock_now() + std::chrono::seconds(20));
    REQUIRE(received.size() == 1);
    CHECK(std::get<health::probe_result>(received.front()).ok);
}

TEST_CASE("a probe that another server answers has failed")
{
    // Guards against the health of the next user of an address that counts for
    // the server that was there before.
    test_server server;
    server_http_options options;
    options.names.server_name = "X-Instance-Id";
    fixture duty(options);
    for (char const* name : {"s1", "s2"})
        REQUIRE(duty.requests.try_push(probe{name, server.address()}));
    std::vector<health::message> received;
    while (received.size() < 2)
        duty.probes.pop_until(received, clock_now() + std::chrono::seconds(20));
    for (health::message const& item : received)
    {
        auto const& result = std::get<health::probe_result>(item);
        CHECK(result.ok == (result.server == "s1"));
    }
}

TEST_CASE("a server that does not answer does not keep a stopped loop running")
{
    test_server server;
    std::optional<fixture> duty(std::in_place);
    duty->send(server.address(), "/stall", true, 3000);
    while (server.requests == 0)
        std::this_thread::sleep_for(duration(1000));
    time_point const closed_at = clock_now();
    duty.reset();
    CHECK(clock_now() - closed_at < std::chrono::seconds(1));
}

TEST_CASE("a response with an invalid status is cut")
{
    // Guards against statuses that callers cannot read, and against a refusal
    // that is believed although its status is none.
    for (char const* const status : {"000", "099", "600", "999", "abc", "2xx",
                                     "20", "2000", "-200", "+200"})
    {
        INFO(status);
        test_server server;
        fixture duty;
        duty.send(server.address(), "/status/" + std::string(status));
        finished const done = duty.wait_for_result();
        INFO("class " << int(done.result) << " status " << done.status << " "
                      << done.detail);
        CHECK(done.result == result_class::cut);
        CHECK(done.status == 0);
    }
}

TEST_CASE("a statement of a server is read, and a malformed one is marked")
{
    header_names names;
    names.server_limit = "Server-Limit";
    names.server_leaving = "Server-Leaving";
    names.server_load = "X-Server-Load";
    auto const read = [&](std::vector<std::string> const& lines)
    {
        response_head head;
        apply_header_line(head, names, "HTTP/1.1 200 OK\r\n");
        for (std::string const& line : lines)
            apply_header_line(head, names, line);
        return head.statement;
    };
    CHECK(read({"server-limit: 4.25\r\n"}).rate_limit == 4.25);
    CHECK(read({"Server-Limit: 0\r\n"}).rate_limit == 0);
    CHECK(read({"Server-Leaving: 1\r\n"}).is_leaving);
    CHECK_FALSE(read({"Content-Length: 2\r\n"}).rate_limit);
    for (char const* value :
         {"", "x", "-1", "inf", "nan", "1e999", "4.2 a second", "4,2"})
    {
        INFO(value);
        CHECK(read({std::string("Server-Limit: ") + value}).is_malformed);
    }
    CHECK(read({"Server-Limit: 4", "Server-Limit: 5"}).is_malformed);
    CHECK(read({"Server-Leaving: yes"}).is_malformed);
    CHECK(read({"Server-Leaving: 1", "Server-Leaving: 1"}).is_malformed);
    auto const load = read({"x-server-load: 3,2,5\r\n"}).load;
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 2);
    CHECK(load->slots == 5);
    for (char const* value : {"", "3,2", "3,2,", "3,2,5,1", "-1,0,5", "1, 0,5",
                              "1.5,0,5", "1,0,99999999999", "a,b,c"})
    {
        INFO(value);
        CHECK(read({std::string("X-Server-Load: ") + value}).is_malformed);
    }
    CHECK(read({"X-Server-Load: 1,0,5", "X-Server-Load: 1,0,5"}).is_malformed);
}

TEST_CASE("a response without an end is cut within bounds of memory and time")
{
    // Guards against a daemon that exceeds its memory: bytes may come without
    // end in a head or a body, until the caller closes the connection.
    for (char const* path :
         {"/endless_head", "/endless_body", "/endless_noise"})
    {
        INFO(path);
        test_server server;
        fixture duty;
        time_point const sent_at = clock_now();
        duty.send(server.address(), path);
        CHECK(duty.wait_for_result().result == result_class::cut);
        CHECK(clock_now() - sent_at < std::chrono::seconds(2));
        while (server.closed == 0)
            std::this_thread::sleep_for(duration(1000));
        // The limit of a body is 1 MiB; sockets buffer some MiB more.
        CHECK(server.endless_bytes < std::size_t{16} << 20);
    }
}

TEST_CASE("the responses that are received together share a limit of memory")
{
    test_server server;
    server_http_options options;
    // Each of the two bodies of 1 MiB is within its own limit.
    options.max_body_bytes = 1'100'000;
    options.max_buffered_bytes = 1'500'000;
    fixture duty(options);
    for (int ticket = 1; ticket <= 2; ++ticket)
        duty.send(server.address(), "/large_then_stall", true, 2000, ticket);
    std::vector<result_class> results;
    for (int i = 0; i < 2; ++i)
        results.push_back(duty.wait_for_result().result);
    CHECK(std::ranges::count(results, result_class::cut) == 1);
}
