#include "dispatch_thread.hpp"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <thread>

using namespace gooseberrycove;
using namespace gooseberrycove::dispatch;

namespace
{

/// Backend server whose behaviour is named by the path of the request.
class stand_in
{
public:
    stand_in() : m_thread([this] { accept(); }) {}
    ~stand_in()
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
    std::atomic<bool> saw_headers = false;

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
    void read(socket_ptr socket, int served)
    {
        auto text = std::make_shared<std::string>();
        asio::async_read_until(
            *socket, asio::dynamic_buffer(*text), "\r\n\r\n",
            [this, socket, text, served](asio::error_code code, std::size_t)
            {
                if (code)
                {
                    ++closed;
                    return;
                }
                ++requests;
                saw_headers = text->find("X-Deadline-Ms: ") != text->npos &&
                              text->find("Idempotency-Key: k1") != text->npos;
                answer(socket, *text, served);
            });
    }
    void answer(socket_ptr const& socket, std::string const& text, int served)
    {
        auto const from = text.find(' ') + 1;
        std::string const path = text.substr(from, text.find(' ', from) - from);
        bool keep = true;
        std::string const reply = reply_to(path, served, keep);
        if (path != "/stall" && !reply.empty())
            asio::write(*socket, asio::buffer(reply));
        if (keep)
            read(socket, served + 1);
    }
    static std::string reply_to(std::string const& path, int served, bool& keep)
    {
        std::string const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        keep = path == "/ok" || path == "/healthz" || path == "/stall" ||
               path == "/chunked" || (path == "/once" && served == 0);
        if (path == "/drop" || (path == "/once" && served > 0))
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
        if (path == "/error")
            return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
        if (path == "/busy")
            return "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
        if (path == "/shed")
            return "HTTP/1.1 503 No\r\nX-Outcome: not_run\r\n"
                   "Content-Length: 0\r\n\r\n";
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

/// The duty with rings of its own.
struct fixture
{
    inbox requests{64};
    admission::inbox results{64};
    health::inbox probes{64};
    std::thread duty{[this] { run(requests, {&results, &probes, {}}); }};

    ~fixture()
    {
        requests.close();
        duty.join();
    }
    void send(std::string const& address, std::string const& path,
              bool repeatable = true, int limit_ms = 5000, int ticket = 1)
    {
        start job;
        job.ticket = static_cast<std::uint64_t>(ticket);
        job.address = address;
        job.request.method = "POST";
        job.request.target = path;
        job.request.idempotency_key = "k1";
        job.request.repeatable = repeatable;
        job.request.deadline = clock_now() + duration(limit_ms * 1000);
        REQUIRE(requests.try_push(std::move(job)));
    }
    finished wait()
    {
        std::vector<admission::message> out;
        results.pop_until(out, clock_now() + std::chrono::seconds(20));
        REQUIRE(out.size() == 1);
        return std::get<finished>(out.front());
    }
};

} // namespace

TEST_CASE("each way in which a transfer ends has its result class")
{
    // Guards against a truncated answer passed on as complete, and against
    // "not run" for work that the server may have seen.
    struct row
    {
        char const* path;
        result_class expected;
        int status;
        int limit_ms = 5000;
    };
    auto const fault = GENERATE(
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
    CAPTURE(fault.path, repeatable);
    stand_in server;
    fixture duty;
    duty.send(server.address(), fault.path, repeatable, fault.limit_ms);
    finished const result = duty.wait();
    CHECK(result.result == fault.expected);
    CHECK(result.status == fault.status);
    CHECK(server.requests == 1);
    CHECK(server.saw_headers);
}

TEST_CASE("a refused connection and a passed deadline are not run")
{
    std::string unused;
    {
        stand_in gone;
        unused = gone.address();
    }
    int const limit_ms = GENERATE(5000, -1);
    fixture duty;
    duty.send(unused, "/ok", false, limit_ms);
    CHECK(duty.wait().result == result_class::connect_failed);
}

TEST_CASE("non-repeatable work is sent once when kept connections fail")
{
    // libcurl repeats a request by itself when a kept connection ends
    // without an answer.
    stand_in server;
    fixture duty;
    duty.send(server.address(), "/once");
    CHECK(duty.wait().result == result_class::answered);
    duty.send(server.address(), "/drop", false);
    CHECK(duty.wait().result == result_class::cut);
    CHECK(server.requests == 2);
}

TEST_CASE("repeatable work is not repeated by the client on its own")
{
    // Guards against up to six arrivals of one request at a server that has
    // gone: only routing repeats, within the limits of route and service.
    stand_in server;
    fixture duty;
    duty.send(server.address(), "/once");
    CHECK(duty.wait().result == result_class::answered);
    duty.send(server.address(), "/once");
    CHECK(duty.wait().result == result_class::cut);
    CHECK(server.requests == 2);
}

TEST_CASE("connections are kept and stay within the transfers in flight")
{
    stand_in server;
    fixture duty;
    for (int i = 0; i < 20; ++i)
    {
        duty.send(server.address(), "/ok");
        CHECK(duty.wait().result == result_class::answered);
    }
    CHECK(server.connections == 1);
}

TEST_CASE("cancelling closes the connection")
{
    stand_in server;
    fixture duty;
    duty.send(server.address(), "/stall", true, 20000, 7);
    while (server.requests == 0)
        std::this_thread::sleep_for(duration(1000));
    REQUIRE(duty.requests.try_push(cancel{7}));
    CHECK(duty.wait().result == result_class::cancelled);
    while (server.closed == 0)
        std::this_thread::sleep_for(duration(1000));
}

TEST_CASE("a closed inbox lets transfers in flight finish")
{
    stand_in server;
    fixture duty;
    duty.send(server.address(), "/stall", true, 100);
    duty.requests.close();
    CHECK(duty.wait().result == result_class::timed_out);
}

TEST_CASE("a probe reports to health")
{
    stand_in server;
    fixture duty;
    REQUIRE(duty.requests.try_push(probe{"s1", server.address()}));
    std::vector<health::message> out;
    duty.probes.pop_until(out, clock_now() + std::chrono::seconds(20));
    REQUIRE(out.size() == 1);
    CHECK(std::get<health::probe_result>(out.front()).ok);
}
