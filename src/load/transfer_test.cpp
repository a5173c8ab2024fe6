#include "load/transfer.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <thread>

using namespace gooseberrycove;
using namespace gooseberrycove::load;
using asio::ip::tcp;

namespace
{

void read_request(tcp::socket& socket)
{
    std::string buffer;
    asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n");
}

transfer make_get(tcp::acceptor const& listener, std::uint64_t ticket)
{
    transfer request;
    request.ticket = ticket;
    request.target =
        fmt::format("127.0.0.1:{}", listener.local_endpoint().port());
    request.method = "GET";
    request.path = "/";
    request.request_id = "r";
    return request;
}

transfer_result wait_for_result(result_inbox& results)
{
    std::vector<transfer_result> out;
    results.pop_until(out, clock_now() + std::chrono::seconds(20));
    REQUIRE(out.size() == 1);
    return out.front();
}

} // namespace

TEST_CASE("a request is lost, not unsent, when its reused connection closes")
{
    // Guards against "not run" in the history for a request that a killed
    // daemon had already forwarded. libcurl sends the request again on a new
    // connection, which is refused.
    asio::io_context context;
    tcp::acceptor listener(context, {asio::ip::make_address("127.0.0.1"), 0});
    std::thread daemon(
        [&]
        {
            tcp::socket caller = listener.accept();
            read_request(caller);
            asio::write(caller,
                        asio::buffer(std::string("HTTP/1.1 200 OK\r\n"
                                                 "Content-Length: 0\r\n\r\n")));
            read_request(caller);
            listener.close();
        });
    transfer_inbox requests(4);
    result_inbox results(4);
    std::thread sender([&] { run_transfers(requests, results, ""); });
    transfer const first = make_get(listener, 1);
    transfer second = first;
    second.ticket = 2;
    requests.try_push(transfer(first));
    CHECK(wait_for_result(results).end == transfer_end::complete);
    requests.try_push(std::move(second));
    CHECK(wait_for_result(results).end == transfer_end::lost);
    requests.close();
    sender.join();
    daemon.join();
}
