#include "delivery.hpp"
#include "peer_thread.hpp"
#include <gooseberrycove/settings.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <thread>

using namespace gooseberrycove;

namespace
{

constexpr std::chrono::seconds test_timeout{20};

/// Without this wait, a test's first message may be sent before the port is
/// open.
void wait_until_listening(std::string const& address)
{
    auto const [host, port] = split_address(address);
    asio::io_context context;
    asio::error_code failure;
    time_point const deadline = clock_now() + test_timeout;
    do
    {
        asio::ip::tcp::socket probe(context);
        probe.connect({asio::ip::make_address(host), port}, failure);
        if (failure)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    } while (failure && clock_now() < deadline);
    REQUIRE_FALSE(failure);
}

/// A peer thread whose rings keep the messages for the test to read.
struct node
{
    node(std::uint64_t id, std::string const& address, key_set& keys,
         std::string const& bind_address = "")
    {
        to.self = {id, 1};
        to.address = address;
        to.bind_address = bind_address;
        to.keys = &keys;
        to.counts = &counts;
        to.routing = &routing;
        to.admission = &admission;
        to.claims = &claims;
        to.config = &config;
        to.members = &members;
        thread = std::thread([this] { peer::run(outbox, to); });
        wait_until_listening(bind_address.empty() ? address : bind_address);
    }

    ~node()
    {
        outbox.close();
        thread.join();
    }

    metrics counts;
    routing::inbox routing{16};
    admission::inbox admission{request_ring_capacity};
    claims::inbox claims{16};
    config::inbox config{16};
    members::inbox members{16};
    peer::inbox outbox{16};
    peer::wiring to;
    std::thread thread;
};

template <class Message>
Message pop_one(ring<Message>& inbox)
{
    std::vector<Message> messages;
    inbox.pop_until(messages, clock_now() + test_timeout);
    REQUIRE(messages.size() == 1);
    return std::move(messages.front());
}

std::string key_path()
{
    std::filesystem::path const path =
        std::filesystem::temp_directory_path() / "gcove_peer_test.key";
    std::ofstream(path) << "secret\n";
    return path.string();
}

work_request make_work_request(std::uint64_t number, std::string const& origin)
{
    work_request request;
    request.id = {0, number};
    request.origin_address = origin;
    request.body = std::string(100'000, 'b');
    return request;
}

} // namespace

TEST_CASE("work, its result and a datagram are carried between two daemons")
{
    key_set keys(key_path());
    std::string const left_address = "127.0.0.1:17411";
    std::string const right_address = "127.0.0.1:17412";
    node left(1, left_address, keys);
    node right(2, right_address, keys);

    left.outbox.try_push(
        peer::outgoing{right_address, make_work_request(7, left_address)});
    auto const arrived = std::get<work_request>(pop_one(right.admission));
    CHECK(arrived.id == request_id{0, 7});
    CHECK(arrived.body.size() == 100'000);

    work_result result;
    result.id = arrived.id;
    result.body = "done";
    right.outbox.try_push(peer::outgoing{arrived.origin_address, result});
    CHECK(std::get<work_result>(pop_one(left.routing)).body == "done");

    members::packet packet;
    packet.number = 5;
    left.outbox.try_push(peer::outgoing{right_address, packet});
    CHECK(std::get<members::packet>(pop_one(right.members)).number == 5);
}

TEST_CASE("a daemon listens at peer_bind and connects from its ip")
{
    // Guards against connections from another local address: a relay between
    // daemons identifies the sender by its ip.
    key_set keys(key_path());
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(
        context, {asio::ip::make_address("127.0.0.1"), 17417});
    node left(1, "127.0.0.1:17418", keys, "127.0.1.9:17418");
    left.outbox.try_push(peer::outgoing{
        "127.0.0.1:17417", make_work_request(3, "127.0.0.1:17418")});
    auto const arrived = acceptor.accept();
    CHECK(arrived.remote_endpoint().address().to_string() == "127.0.1.9");
}

TEST_CASE("work for an unreachable home is returned as not run")
{
    key_set keys(key_path());
    node left(1, "127.0.0.1:17413", keys);
    left.outbox.try_push(peer::outgoing{
        "127.0.0.1:17414", make_work_request(8, "127.0.0.1:17413")});
    auto const result = std::get<work_result>(pop_one(left.routing));
    CHECK(result.id == request_id{0, 8});
    CHECK(result.run_outcome == outcome::not_run);
}

TEST_CASE("work whose home stops after it was sent has an unknown outcome")
{
    key_set keys(key_path());
    node left(1, "127.0.0.1:17415", keys);
    {
        node right(2, "127.0.0.1:17416", keys);
        left.outbox.try_push(peer::outgoing{
            "127.0.0.1:17416", make_work_request(9, "127.0.0.1:17415")});
        pop_one(right.admission);
    }
    auto const result = std::get<work_result>(pop_one(left.routing));
    CHECK(result.run_outcome == outcome::unknown);
}

TEST_CASE("work is refused as not run when the home's ring is full")
{
    metrics counts;
    admission::inbox admission(response_reserve);
    peer::wiring to;
    to.counts = &counts;
    to.admission = &admission;
    auto const refusal = peer::deliver(make_work_request(1, "127.0.0.1:1"), to);
    REQUIRE(refusal);
    CHECK(refusal->address == "127.0.0.1:1");
    CHECK(std::get<work_result>(refusal->content).run_outcome ==
          outcome::not_run);
}
