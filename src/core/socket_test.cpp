#include <gooseberrycove/socket.hpp>

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace gooseberrycove;

TEST_CASE("the keep-alive timeout covers idle and sending connections")
{
    // Guards against a store watch that waits 27 s on a connection that a
    // network partition interrupted.
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(socket >= 0);
    REQUIRE(set_keepalive_timeout(socket));
    auto const get = [socket](int option)
    {
        int value = 0;
        socklen_t size = sizeof(value);
        ::getsockopt(socket, IPPROTO_TCP, option, &value, &size);
        return value;
    };
    auto const limit =
        std::chrono::duration_cast<std::chrono::seconds>(keepalive_timeout)
            .count();
    CHECK(get(TCP_KEEPIDLE) + get(TCP_KEEPINTVL) * get(TCP_KEEPCNT) == limit);
    CHECK(get(TCP_USER_TIMEOUT) == limit * 1000);
    ::close(socket);
    CHECK_FALSE(set_keepalive_timeout(socket));
}
