#include "received_bodies.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::peer;
using namespace std::chrono_literals;

TEST_CASE("a home takes large bodies up to its limit")
{
    // Guards against a home that runs out of memory because each of many
    // daemons sends it bodies within the daemon's own budget.
    constexpr std::uint64_t mib = std::uint64_t{1} << 20;
    time_point const now = time_point() + 1h;
    received_bodies state;
    state.max_bytes = 4 * mib;
    auto const admit = [&](std::uint64_t number, std::uint64_t bytes,
                           time_point at) {
        return admit_body(state, {request_id{number, 0}, 1}, bytes, now + 5s,
                          at);
    };
    CHECK(admit(1, 64 * mib, now));
    CHECK_FALSE(admit(2, mib, now));
    CHECK(admit(3, counted_body_bytes, now));
    release_body(state, {request_id{1, 0}, 1});
    release_body(state, {request_id{1, 0}, 1});
    CHECK(state.held_bytes == 0);
    CHECK(admit(4, 3 * mib, now));
    CHECK_FALSE(admit(5, 2 * mib, now));
    // Work that was cancelled never has a result.
    CHECK(admit(5, 2 * mib, now + 5s + result_margin));
    CHECK(state.held_bytes == 2 * mib);
}
