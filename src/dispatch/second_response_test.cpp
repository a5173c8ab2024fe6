#include "dispatch_thread.hpp"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <functional>
#include <thread>

using namespace gooseberrycove;
using namespace gooseberrycove::dispatch;

namespace
{

/// Bytes that a server writes some time after it has read a request.
struct written
{
    int after_ms = 0;
    std::string bytes;
};

using script = std::function<std::vector<written>(std::string const& id)>;

std::string response(std::string const& status, std::string const& headers,
                     std::string const& body)
{
    return fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n{}\r\n{}", status,
                       body.size(), headers, body);
}

std::string own_response(std::string const& id)
{
    return response("200 OK", "X-Stamp: s1\r\nX-Request-Id: " + id + "\r\n",
                    "answer to " + id);
}

std::string const bare_success = response("200 OK", "", "ok");

/// Server that follows a script. Each connection has a thread.
class scripted_server
{
public:
    explicit scripted_server(script answers)
        : m_answers(std::move(answers)), m_accepting([this] { accept(); })
    {
    }
    ~scripted_server()
    {
        asio::io_context context;
        asio::ip::tcp::socket last(context);
        m_is_stopping = true;
        last.connect(m_acceptor.local_endpoint());
        m_accepting.join();
        for (std::thread& item : m_connections)
            item.join();
    }
    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

    std::atomic<int> connections = 0;
    std::atomic<int> requests = 0;

private:
    void accept()
    {
        while (true)
        {
            asio::ip::tcp::socket socket = m_acceptor.accept();
            if (m_is_stopping)
                return;
            ++connections;
            m_connections.emplace_back(
                [this, accepted = std::move(socket)]() mutable
                { serve(accepted); });
        }
    }
    void serve(asio::ip::tcp::socket& socket)
    {
        std::string text;
        asio::error_code failure;
        while (true)
        {
            std::size_t const size = asio::read_until(
                socket, asio::dynamic_buffer(text), "\r\n\r\n", failure);
            if (failure)
                return;
            ++requests;
            auto const begin = text.find("X-Request-Id: ") + 14;
            std::string const id =
                begin < 14 ? ""
                           : text.substr(begin, text.find('\r', begin) - begin);
            text.erase(0, size);
            for (written const& part : m_answers(id))
            {
                std::this_thread::sleep_for(
                    std::chrono::milliseconds(part.after_ms));
                asio::write(socket, asio::buffer(part.bytes), failure);
            }
        }
    }

    script m_answers;
    std::atomic<bool> m_is_stopping = false;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor{m_context,
                                       {asio::ip::address_v4::loopback(), 0}};
    std::vector<std::thread> m_connections;
    std::thread m_accepting;
};

/// The dispatch duty with its rings.
struct duty
{
    inbox requests{64};
    admission::inbox results{64};
    health::inbox probes{64};
    std::thread thread;

    explicit duty(server_http_options const& options = {})
        : thread(
              [this, options] {
                  run(requests, {&results, &probes, options});
              })
    {
    }
    ~duty()
    {
        requests.close();
        thread.join();
    }
    finished send(std::string const& address, std::string const& id)
    {
        start job;
        job.ticket = ++m_last_ticket;
        job.address = address;
        job.request.method = "GET";
        job.request.target = "/";
        job.request.caller_id = id;
        job.request.repeatable = true;
        job.request.deadline = clock_now() + std::chrono::seconds(2);
        REQUIRE(requests.try_push(std::move(job)));
        std::vector<admission::message> received;
        results.pop_until(received, clock_now() + std::chrono::seconds(20));
        REQUIRE(received.size() == 1);
        return std::get<finished>(received.front());
    }

private:
    std::uint64_t m_last_ticket = 0;
};

void wait_ms(int count)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(count));
}

} // namespace

TEST_CASE("bytes that arrive on an idle connection answer no later request")
{
    std::string const noise = "\x01 no response\r\n\r\n";
    struct row
    {
        char const* name;
        std::function<std::vector<written>(std::string const&)> extra;
    };
    std::vector<row> const rows{
        {"same",
         [](std::string const& id) {
             return std::vector<written>{{10, own_response(id)}};
         }},
        {"split",
         [](std::string const& id)
         {
             std::string const whole = own_response(id);
             return std::vector<written>{{10, whole.substr(0, 20)},
                                         {60, whole.substr(20)}};
         }},
        {"bare",
         [](std::string const&) {
             return std::vector<written>{{10, bare_success}};
         }},
        {"two",
         [](std::string const&) {
             return std::vector<written>{{10, bare_success + bare_success}};
         }},
        {"undelimited",
         [](std::string const&) {
             return std::vector<written>{{10, "HTTP/1.1 200 OK\r\n\r\nok"}};
         }},
        {"noise",
         [&](std::string const&) {
             return std::vector<written>{{10, noise}};
         }},
        {"with the response", [](std::string const&) {
             return std::vector<written>{{0, bare_success}};
         }}};
    for (row const& item : rows)
    {
        CAPTURE(item.name);
        scripted_server server(
            [&](std::string const& id)
            {
                std::vector<written> out{{0, own_response(id)}};
                // Bytes of the same write arrive together with the response.
                for (written const& part : item.extra(id))
                {
                    if (part.after_ms == 0)
                        out.back().bytes += part.bytes;
                    else
                        out.push_back(part);
                }
                return out;
            });
        duty sender;
        for (int i = 1; i <= 4; ++i)
        {
            std::string const id = fmt::format("r{}", i);
            finished const result = sender.send(server.address(), id);
            CHECK(result.result == result_class::answered);
            CHECK(result.body == "answer to " + id);
            wait_ms(40);
        }
        CHECK(server.requests == 4);
    }
}

TEST_CASE("a late second response is not taken for one that is still due")
{
    std::string const not_run =
        response("503 No", "X-Outcome: not_run\r\n", "");
    for (std::string const& late : {bare_success, not_run, own_response("r1"),
                                    std::string("HTTP/1.1 200 OK\r\n\r\nok")})
    {
        CAPTURE(late);
        scripted_server server(
            [&](std::string const& id)
            {
                if (id != "r2")
                    return std::vector<written>{{0, own_response(id)}};
                return std::vector<written>{{20, late}, {30, own_response(id)}};
            });
        duty sender;
        CHECK(sender.send(server.address(), "r1").result ==
              result_class::answered);
        CHECK(sender.send(server.address(), "r2").result == result_class::cut);
        finished const third = sender.send(server.address(), "r3");
        CHECK(third.result == result_class::answered);
        CHECK(third.body == "answer to r3");
        CHECK(server.connections == 2);
    }
}

TEST_CASE("a response that continues the part of another head is cut")
{
    // Guards against "not run" for work that ran: status and headers would be
    // those of the part, id and body those of the response.
    server_http_options options;
    options.names.not_run = "X-Not-Executed";
    std::string const other = GENERATE(
        response("503 No", "X-Not-Executed: full\r\nX-Stamp: s1\r\n", ""),
        response("200 OK", "Set-Cookie: a=b\r\nX-Stamp: s1\r\n", ""));
    std::size_t cut_at = 0;
    scripted_server server(
        [&](std::string const& id)
        {
            if (!id.starts_with("part"))
                return std::vector<written>{{0, own_response(id)}};
            return std::vector<written>{
                {0, other.substr(0, cut_at) + own_response(id)}};
        });
    duty sender(options);
    for (cut_at = 1; cut_at + 2 < other.size(); ++cut_at)
    {
        CAPTURE(other, cut_at);
        sender.send(server.address(), "r1");
        finished const result =
            sender.send(server.address(), fmt::format("part{}", cut_at));
        CHECK(result.result == result_class::cut);
    }
}

TEST_CASE("a refusal without the request's id does not state that it did not "
          "run")
{
    // Guards against a second run of work that runs behind a bare refusal.
    server_http_options options;
    options.names.not_run = "X-Not-Executed";
    std::string const refusal =
        GENERATE(response("503 No", "X-Not-Executed: full\r\n", ""),
                 response("421 Other", "", ""));
    scripted_server server(
        [&](std::string const& id) {
            return std::vector<written>{{0, refusal}, {10, own_response(id)}};
        });
    duty sender(options);
    CHECK(sender.send(server.address(), "r1").result == result_class::cut);
}

TEST_CASE("a response with two ids is cut")
{
    scripted_server server(
        [](std::string const& id)
        {
            return std::vector<written>{
                {0, response("200 OK",
                             "X-Request-Id: r9\r\nX-Request-Id: " + id + "\r\n",
                             "answer to r9")}};
        });
    duty sender;
    CHECK(sender.send(server.address(), "r1").result == result_class::cut);
}

TEST_CASE("a success without the server's stamp is cut, also on a new "
          "connection")
{
    server_http_options options;
    options.names.server_stamp = "X-Stamp";
    scripted_server server(
        [](std::string const& id)
        {
            if (id == "bare")
                return std::vector<written>{{0, bare_success}};
            if (id == "failed")
                return std::vector<written>{{0, response("500 No", "", "no")}};
            return std::vector<written>{{0, own_response(id)}};
        });
    duty sender(options);
    CHECK(sender.send(server.address(), "bare").result == result_class::cut);
    CHECK(sender.send(server.address(), "failed").status == 500);
    CHECK(sender.send(server.address(), "r1").body == "answer to r1");
}

TEST_CASE("a statement that a server passes on from a call of its own does not "
          "count as its own")
{
    // Guards against a second run of work that ran and whose call was refused.
    server_http_options options;
    options.names.not_run = "X-Not-Executed";
    scripted_server server(
        [](std::string const& id)
        {
            std::string const header = id == "refused"
                                           ? "X-Not-Executed: full\r\n"
                                             "X-Request-Id: refused\r\n"
                                           : "X-Outcome: not_run\r\n";
            return std::vector<written>{{0, response("500 No", header, "no")}};
        });
    duty sender(options);
    CHECK(sender.send(server.address(), "passed on").result ==
          result_class::answered);
    CHECK(sender.send(server.address(), "refused").result ==
          result_class::refused_not_run);
}

TEST_CASE("responses without an id are each the first on their connection")
{
    scripted_server server(
        [](std::string const&) {
            return std::vector<written>{{0, bare_success}};
        });
    duty sender;
    for (char const* id : {"r1", "", "r3"})
        CHECK(sender.send(server.address(), id).result ==
              result_class::answered);
    CHECK(server.connections == 3);
}

TEST_CASE("a trailer does not change what a response says of itself")
{
    scripted_server server(
        [](std::string const& id)
        {
            return std::vector<written>{
                {0, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                    "X-Request-Id: " +
                        id +
                        "\r\n\r\n2\r\nok\r\n0\r\nHTTP/1.1: 500 No\r\n"
                        "X-Request-Id: r9\r\n\r\n"}};
        });
    duty sender;
    finished const result = sender.send(server.address(), "r1");
    CHECK(result.result == result_class::answered);
    CHECK(result.status == 200);
}
