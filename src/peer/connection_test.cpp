#include "connection.hpp"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

using namespace gooseberrycove;

namespace
{

using asio::ip::tcp;

/// An accepted connection and the socket of its peer.
struct connected_pair
{
    asio::io_context context;
    tcp::socket remote{context};
    std::shared_ptr<peer::connection> local;
    int frames = 0;
    int ends = 0;

    connected_pair()
    {
        tcp::acceptor acceptor(context,
                               {asio::ip::make_address("127.0.0.1"), 0});
        remote.connect(acceptor.local_endpoint());
        peer::connection::handlers callbacks;
        callbacks.on_frame = [this](peer::connection&, std::string_view)
        { ++frames; };
        callbacks.on_end = [this](peer::connection&, std::uint64_t) { ++ends; };
        local = std::make_shared<peer::connection>(acceptor.accept(),
                                                   std::move(callbacks));
    }

    void send_frame(std::string const& content)
    {
        std::string const prefix{'\0', '\0', '\0',
                                 static_cast<char>(content.size())};
        asio::write(remote, asio::buffer(prefix + content));
    }
};

} // namespace

TEST_CASE("a frame that was read before the connection ended is dropped")
{
    // Guards against a peer thread that registers an ended connection under its
    // peer's address and later sends on it after it is destroyed.
    connected_pair pair;
    pair.send_frame("frame");
    pair.local->start();
    // The handler of the length starts the read of the frame, which completes
    // at once; its handler is queued.
    REQUIRE(pair.context.run_one() == 1);
    pair.local->close();
    CHECK(pair.ends == 1);
    pair.context.run_for(std::chrono::milliseconds(50));
    CHECK(pair.frames == 0);
    CHECK(pair.ends == 1);
}
