#include "front_thread.hpp"
#include <gooseberrycove/settings.hpp>

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <functional>
#include <thread>

using namespace gooseberrycove;
using namespace std::chrono_literals;

namespace
{

/// Limit of each wait in these tests.
constexpr auto wait_limit = 10s;

std::string free_address()
{
    asio::io_context context;
    asio::ip::tcp::acceptor const acceptor(
        context, {asio::ip::make_address("127.0.0.1"), 0});
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

bool wait_until(std::function<bool()> const& is_met)
{
    time_point const end = clock_now() + wait_limit;
    while (clock_now() < end)
    {
        if (is_met())
            return true;
        std::this_thread::sleep_for(5ms);
    }
    return is_met();
}

/// The front duty on its own thread; the test takes the place of routing.
class test_front
{
public:
    explicit test_front(std::size_t max_pipelined = http::default_max_pipelined,
                        std::size_t max_all_bodies = 0)
    {
        setup.address = free_address();
        setup.counts = &counts;
        setup.routing = &routing;
        setup.in_flight = &in_flight;
        setup.max_pipelined = max_pipelined;
        setup.max_all_bodies = max_all_bodies;
        m_thread = std::thread(
            [this]
            {
                front::run(messages, setup);
                has_ended = true;
            });
    }

    ~test_front()
    {
        stop();
        m_thread.join();
    }

    void stop() { messages.close(); }

    /// Requests that have been passed on, in order; waits for \p count.
    std::vector<routing::caller_request> take_requests(std::size_t count)
    {
        std::vector<routing::caller_request> taken;
        time_point const end = clock_now() + wait_limit;
        std::vector<routing::message> batch;
        while (taken.size() < count && clock_now() < end)
        {
            routing.pop_until(batch, clock_now() + 10ms);
            for (routing::message& item : batch)
            {
                if (auto* request = std::get_if<routing::caller_request>(&item))
                    taken.push_back(std::move(*request));
            }
            batch.clear();
        }
        return taken;
    }

    void answer(routing::caller_request const& request, std::string body,
                int status = 200)
    {
        front::caller_response response;
        response.id = request.id;
        response.status = status;
        response.body = std::move(body);
        messages.try_push(std::move(response));
    }

    front::inbox messages{request_ring_capacity};
    routing::inbox routing{request_ring_capacity};
    metrics counts;
    std::atomic<std::size_t> in_flight{0};
    std::atomic<bool> has_ended{false};
    front::wiring setup;

private:
    std::thread m_thread;
};

/// A caller with one connection.
class test_caller
{
public:
    explicit test_caller(std::string const& address)
    {
        auto const [host, port] = split_address(address);
        asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(host),
                                               port);
        wait_until(
            [&]
            {
                asio::error_code failure;
                m_socket = asio::ip::tcp::socket(m_context);
                m_socket.connect(endpoint, failure);
                return !failure;
            });
    }

    /// Sends requests for the paths in one write.
    void send(std::vector<std::string> const& paths,
              std::string_view method = "GET")
    {
        std::string bytes;
        for (std::string const& path : paths)
            bytes += fmt::format("{1} {0} HTTP/1.1\r\nHost: shop\r\n"
                                 "X-Request-Id: id{0}\r\n\r\n",
                                 path, method);
        asio::write(m_socket, asio::buffer(bytes));
    }

    void send_bytes(std::string const& bytes)
    {
        asio::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    /// Reads until the daemon closes the connection.
    std::string read_to_end()
    {
        std::string bytes;
        asio::error_code failure;
        asio::read(m_socket, asio::dynamic_buffer(bytes), failure);
        return bytes;
    }

    std::string read_bytes(std::size_t count)
    {
        std::string bytes;
        asio::error_code failure;
        asio::read(m_socket, asio::dynamic_buffer(bytes),
                   asio::transfer_exactly(count), failure);
        return bytes;
    }

    void close() { m_socket.close(); }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket{m_context};
};

std::vector<std::size_t> positions(std::string const& text,
                                   std::vector<std::string> const& parts)
{
    std::vector<std::size_t> found;
    for (std::string const& part : parts)
        found.push_back(text.find(part));
    return found;
}

std::size_t count_of(std::string const& text, std::string const& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != text.npos;
         at = text.find(part, at + part.size()))
        ++count;
    return count;
}

} // namespace

TEST_CASE("a shutdown delivers the responses of all requests that were read")
{
    // Guards against a response that closes the connection before those behind
    // it: their requests had been passed on and ran.
    test_front front;
    test_caller caller(front.setup.address);
    caller.send({"/a", "/b", "/c"});
    auto const requests = front.take_requests(3);
    REQUIRE(requests.size() == 3);
    front.messages.try_push(front::drain{});
    // Out of order: the first request is the slowest.
    front.answer(requests[1], "body of b");
    front.answer(requests[2], "body of c");
    front.answer(requests[0], "body of a");
    std::string const bytes = caller.read_to_end();
    auto const found =
        positions(bytes, {"body of a", "body of b", "body of c"});
    INFO(bytes);
    CHECK(std::ranges::is_sorted(found));
    CHECK(found.back() != bytes.npos);
    CHECK(count_of(bytes, "HTTP/1.1 200") == 3);
    CHECK(count_of(bytes, "Connection: close") == 1);
    CHECK(bytes.find("Connection: close") > found[1]);
    CHECK(wait_until([&] { return front.in_flight == 0; }));
}

TEST_CASE("a refusal in a row of requests does not end the row")
{
    // Guards against a refused request, in a shutdown, whose response closes
    // the connection while the request before it is still at work.
    test_front front;
    test_caller caller(front.setup.address);
    caller.send({"/a"});
    auto const first = front.take_requests(1);
    REQUIRE(first.size() == 1);
    front.messages.try_push(front::stop_accepting{});
    std::this_thread::sleep_for(50ms);
    caller.send({"/b"});
    std::this_thread::sleep_for(50ms);
    front.answer(first[0], "body of a");
    std::string const bytes = caller.read_to_end();
    INFO(bytes);
    CHECK(count_of(bytes, "HTTP/1.1 200") == 1);
    CHECK(bytes.find("HTTP/1.1 503") > bytes.find("body of a"));
    CHECK(bytes.find("HTTP/1.1 503") != bytes.npos);
    CHECK(bytes.find("Connection: close") > bytes.find("HTTP/1.1 503"));
}

TEST_CASE("the end of a shutdown delivers ready responses behind a slow one")
{
    // Guards against a response that was ready for seconds and is lost because
    // the request before it on the connection does not end (hanbit-hq, mix,
    // seed 239441091400).
    test_front front;
    test_caller caller(front.setup.address);
    caller.send({"/a", "/b"});
    auto const requests = front.take_requests(2);
    REQUIRE(requests.size() == 2);
    front.messages.try_push(front::drain{});
    front.answer(requests[1], "body of b");
    front.messages.try_push(front::give_up{});
    front.stop();
    std::string const bytes = caller.read_to_end();
    INFO(bytes);
    CHECK(bytes.starts_with("HTTP/1.1 504"));
    CHECK(bytes.find("X-Outcome: unknown") != bytes.npos);
    CHECK(bytes.find("body of b") != bytes.npos);
    CHECK(bytes.find("Connection: close") > bytes.find("HTTP/1.1 200"));
}

TEST_CASE("a stopping daemon writes its last responses")
{
    // Guards against a flush that ends at once because several messages wake
    // the front after its ring is closed (hanbit-hq-grown, mix, seed
    // 280363810741).
    test_front front;
    test_caller caller(front.setup.address);
    caller.send({"/a"});
    auto const requests = front.take_requests(1);
    REQUIRE(requests.size() == 1);
    std::string const body(std::size_t{8} << 20, 'x');
    front.answer(requests[0], body);
    front.messages.try_push(front::give_up{});
    front.messages.try_push(front::give_up{});
    front.stop();
    CHECK(caller.read_bytes(body.size()).size() == body.size());
}

TEST_CASE("a front that ends drops the responses that are not written")
{
    // Guards against a use of the front's state after its end: the HTTP library
    // reports unwritten responses when their connections are destroyed.
    test_front front;
    test_caller caller(front.setup.address);
    caller.send({"/a", "/b"});
    auto const requests = front.take_requests(2);
    REQUIRE(requests.size() == 2);
    // Larger than the buffers of the sockets; the caller does not read.
    front.answer(requests[0], std::string(std::size_t{48} << 20, 'x'));
    front.stop();
    CHECK(wait_until([&] { return front.has_ended.load(); }));
}

TEST_CASE("a front without callers runs until its ring is closed")
{
    // Guards against a stopped daemon that crashes or hangs: the messages of a
    // shutdown woke an event loop that had ended and been destroyed (review/5).
    test_front front;
    test_caller(front.setup.address).close();
    front.messages.try_push(front::stop_accepting{});
    std::this_thread::sleep_for(300ms);
    CHECK_FALSE(front.has_ended);
    CHECK(front.messages.try_push(front::give_up{}));
    front.stop();
    CHECK(wait_until([&] { return front.has_ended.load(); }));
}

TEST_CASE("a request is in flight until the last byte of its response is sent")
{
    // Guards against a shutdown that ends while a caller is still receiving.
    test_front front;
    test_caller caller(front.setup.address);
    caller.send({"/a"});
    auto const requests = front.take_requests(1);
    REQUIRE(requests.size() == 1);
    std::string const body(std::size_t{48} << 20, 'x');
    front.answer(requests[0], body);
    std::this_thread::sleep_for(200ms);
    CHECK(front.in_flight == 1);
    CHECK(caller.read_bytes(body.size()).size() == body.size());
    CHECK(wait_until([&] { return front.in_flight == 0; }));
}

TEST_CASE("a connection that ends cancels each of its requests")
{
    test_front front;
    {
        test_caller caller(front.setup.address);
        caller.send({"/a", "/b", "/c"});
        REQUIRE(front.take_requests(3).size() == 3);
        caller.close();
    }
    std::size_t cancelled = 0;
    std::vector<routing::message> batch;
    wait_until(
        [&]
        {
            front.routing.pop_until(batch, clock_now() + 10ms);
            for (routing::message const& item : batch)
                cancelled +=
                    std::holds_alternative<routing::caller_disconnected>(item)
                        ? 1
                        : 0;
            batch.clear();
            return cancelled == 3;
        });
    CHECK(cancelled == 3);
    CHECK(wait_until([&] { return front.in_flight == 0; }));
}

TEST_CASE("no more requests of a connection are read than its limit")
{
    test_front front(2);
    test_caller caller(front.setup.address);
    caller.send({"/a", "/b", "/c"});
    auto const first = front.take_requests(2);
    REQUIRE(first.size() == 2);
    std::this_thread::sleep_for(100ms);
    CHECK(front.in_flight == 2);
    front.answer(first[0], "body of a");
    CHECK(front.take_requests(1).size() == 1);
}

TEST_CASE("a response without a body leaves no byte before the next response")
{
    // Guards against a problem document that the caller reads as its next
    // response.
    struct row
    {
        char const* method;
        int status;
        char const* length;
    };
    auto const first = GENERATE(
        row{"HEAD", 200, "Content-Length: 8"},
        row{"HEAD", 404, "Content-Length: 8"},
        row{"HEAD", 503, "Content-Length: 8"}, row{"GET", 204, "HTTP/1.1 204"},
        row{"GET", 304, "HTTP/1.1 304"}, row{"HEAD", 204, "HTTP/1.1 204"});
    bool const is_pipelined = GENERATE(false, true);
    CAPTURE(first.method, first.status, is_pipelined);
    test_front front;
    test_caller caller(front.setup.address);
    caller.send({"/a"}, first.method);
    if (is_pipelined)
        caller.send({"/b"});
    auto requests = front.take_requests(is_pipelined ? 2 : 1);
    front.answer(requests.at(0), "problem!", first.status);
    if (!is_pipelined)
    {
        caller.send({"/b"});
        requests = front.take_requests(1);
    }
    front.messages.try_push(front::drain{});
    front.answer(requests.back(), "body of b");
    std::string const bytes = caller.read_to_end();
    INFO(bytes);
    std::string const head = bytes.substr(0, bytes.find("\r\n\r\n"));
    CHECK(head.find(first.length) != head.npos);
    CHECK(bytes.find("problem!") == bytes.npos);
    CHECK(bytes.substr(head.size() + 4).starts_with("HTTP/1.1 200"));
    CHECK(bytes.ends_with("body of b"));
}

namespace
{

std::string with_body(std::string const& path, std::size_t bytes)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: shop\r\n"
                       "Content-Length: {}\r\n\r\n",
                       path, bytes) +
           std::string(bytes, 'x');
}

} // namespace

TEST_CASE("bodies arrive whole, also in chunks and in a row of requests")
{
    // Guards against bytes that are lost or passed to another request: the
    // front reads bodies in place of the HTTP library.
    test_front front;
    test_caller caller(front.setup.address);
    caller.send_bytes("POST /a HTTP/1.1\r\nHost: shop\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "1\r\na\r\n2;note=1\r\nbc\r\n0\r\nTrailer: t\r\n\r\n" +
                      with_body("/b", 300'000) + with_body("/c", 0) +
                      with_body("/d", 2));
    auto const requests = front.take_requests(4);
    REQUIRE(requests.size() == 4);
    CHECK(requests[0].body == "abc");
    CHECK(requests[1].body == std::string(300'000, 'x'));
    CHECK(requests[2].body.empty());
    CHECK(requests[3].body == "xx");
}

TEST_CASE("a row beyond its limit goes on with the bodies that were not read")
{
    // Guards against a request that is parsed after a response was written.
    test_front front(1);
    test_caller caller(front.setup.address);
    caller.send_bytes(with_body("/a", 1) + with_body("/b", 2) +
                      with_body("/c", 3));
    for (std::size_t size = 1; size <= 3; ++size)
    {
        auto const requests = front.take_requests(1);
        REQUIRE(requests.size() == 1);
        CHECK(requests[0].body.size() == size);
        front.answer(requests[0], "answer");
    }
}

TEST_CASE("a body without room is refused as not run until others have ended")
{
    // Guards against memory that grows with the callers, and against room that
    // is not given back.
    constexpr std::size_t large = 200 * 1024;
    test_front front(http::default_max_pipelined, large * 2);
    test_caller first(front.setup.address);
    first.send_bytes(with_body("/first", large));
    auto const held = front.take_requests(1);
    REQUIRE(held.size() == 1);
    test_caller second(front.setup.address);
    second.send_bytes(with_body("/refused", large));
    std::string const refusal = second.read_bytes(200);
    INFO(refusal);
    CHECK(refusal.starts_with("HTTP/1.1 503"));
    CHECK(refusal.find("X-Outcome: not_run") != refusal.npos);
    second.send_bytes(with_body("/small", 100));
    auto const small = front.take_requests(1);
    REQUIRE(small.size() == 1);
    CHECK(small[0].target == "/small");
    front.answer(held[0], "done");
    REQUIRE(wait_until([&] { return front.in_flight == 1; }));
    front.answer(small[0], "done");
    REQUIRE(wait_until([&] { return front.in_flight == 0; }));
    first.send_bytes(with_body("/again", large));
    CHECK(front.take_requests(1).size() == 1);
}

TEST_CASE("a body over the limit is refused with a response")
{
    test_front front;
    test_caller caller(front.setup.address);
    std::size_t const size = front.setup.requests.max_body_bytes + 1;
    caller.send_bytes(with_body("/a", size));
    CHECK(caller.read_bytes(12) == "HTTP/1.1 413");
}
