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

void read_request(tcp::socket& from)
{
    std::string in;
    asio::read_until(from, asio::dynamic_buffer(in), "\r\n\r\n");
}

transfer get_from(tcp::acceptor const& listener, std::uint64_t ticket)
{
    transfer what;
    what.ticket = ticket;
    what.target = fmt::format("127.0.0.1:{}", listener.local_endpoint().port());
    what.method = "GET";
    what.path = "/";
    what.request = "r";
    return what;
}

transfer_result next(result_inbox& from)
{
    std::vector<transfer_result> out;
    from.pop_until(out, clock_now() + std::chrono::seconds(20));
    REQUIRE(out.size() == 1);
    return out.front();
}

} // namespace

TEST_CASE("a request whose kept connection dies is lost, not unsent")
{
    // Guards against a history that says not run for a request that a killed
    // daemon had passed on: libcurl repeats it on a new connection, which is
    // refused.
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
    multi_handle const multi = make_multi(requests);
    std::thread sender([&]
                       { run_transfers(multi.get(), requests, results, ""); });
    transfer const first = get_from(listener, 1);
    transfer second = first;
    second.ticket = 2;
    requests.try_push(transfer(first));
    CHECK(next(results).end == transfer_end::complete);
    requests.try_push(std::move(second));
    CHECK(next(results).end == transfer_end::lost);
    requests.close();
    sender.join();
    daemon.join();
}
