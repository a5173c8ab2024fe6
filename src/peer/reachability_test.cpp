#include "reachability.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::peer;
using namespace std::chrono_literals;

TEST_CASE("work is sent only over a connection that was recently confirmed")
{
    // Guards against work that is delayed by a one-way partition: it can
    // neither be withdrawn nor reported as not run.
    reachability state;
    time_point now{1000s};
    CHECK(next_send_step(state, 7, now) == send_step::check);
    CHECK(next_send_step(state, 8, now + 1ms) == send_step::wait);
    on_check_reply(state, 7);
    CHECK(next_send_step(state, 8, now + 2ms) == send_step::send);
    CHECK(next_send_step(state, 8, now + max_confirmation_age) ==
          send_step::send);
    CHECK(next_send_step(state, 8, now + max_confirmation_age + 1ms) ==
          send_step::check);
    on_confirmed(state, now + max_confirmation_age);
    CHECK(next_send_step(state, 9, now + 2 * max_confirmation_age) ==
          send_step::send);
}

TEST_CASE(
    "work is returned as not run after an overdue check, and an unresponsive "
    "connection is replaced")
{
    reachability state;
    time_point const now{1000s};
    next_send_step(state, 7, now);
    CHECK_FALSE(is_check_overdue(state, now + check_timeout - 1ms));
    CHECK(is_check_overdue(state, now + check_timeout));
    CHECK(next_send_step(state, 8, now + check_timeout) ==
          send_step::return_not_run);
    CHECK(next_send_step(state, 8, now + unresponsive_limit) ==
          send_step::reconnect);
    // The reply to an earlier check does not confirm the outstanding one.
    on_check_reply(state, 6);
    CHECK(is_check_overdue(state, now + check_timeout));
    on_check_reply(state, 7);
    CHECK_FALSE(is_check_overdue(state, now + check_timeout));
}
