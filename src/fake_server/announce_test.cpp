#include "fake_server/announce.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::fake_server;

TEST_CASE("the announcer renews, changes to the next daemon and announces a "
          "drain at once")
{
    time_point const start(duration(1'000'000));
    announce_state state;
    state.target_count = 2;
    CHECK_FALSE(due_target(state, start));
    on_server_state(state, {false, 0.5}, start);
    CHECK(due_target(state, start) == 0);
    CHECK_FALSE(on_reply(state, true, duration(6'000'000), start));
    CHECK_FALSE(due_target(state, start + duration(1'999'999)));
    CHECK(due_target(state, start + duration(2'000'000)) == 0);

    // The first daemon fails: the second is tried without a pause.
    on_reply(state, false, {}, start);
    CHECK(due_target(state, start) == 1);
    // Both fail: a pause keeps the duty from spinning.
    on_reply(state, false, {}, start);
    CHECK_FALSE(due_target(state, start));
    CHECK(due_target(state, start + announce_retry_pause) == 0);
    on_reply(state, true, duration(6'000'000), start);

    on_server_state(state, {true, 0}, start);
    CHECK(due_target(state, start) == 0);
    CHECK(on_reply(state, true, duration(6'000'000), start));
    CHECK_FALSE(on_reply(state, true, duration(6'000'000), start));
}

TEST_CASE("a response without a valid lease is not an acceptance")
{
    CHECK(granted_lease(R"({"lease_ms":3000})") == duration(3'000'000));
    CHECK_FALSE(granted_lease("<html>"));
    CHECK_FALSE(granted_lease(R"({"lease_ms":"x"})"));
}
