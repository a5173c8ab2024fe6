#include "path.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::peer;
using namespace std::chrono_literals;

TEST_CASE("work is sent only over a path that has just been proven")
{
    // Guards against work that a one-way partition holds up: it could neither
    // be taken back nor called unrun.
    path of;
    time_point now{1000s};
    CHECK(on_outgoing_work(of, 7, now) == path_step::check);
    CHECK(on_outgoing_work(of, 8, now + 1ms) == path_step::wait);
    on_check_answer(of, 7);
    CHECK(on_outgoing_work(of, 8, now + 2ms) == path_step::send);
    CHECK(on_outgoing_work(of, 8, now + proof_age) == path_step::send);
    CHECK(on_outgoing_work(of, 8, now + proof_age + 1ms) == path_step::check);
    on_proof(of, now + proof_age);
    CHECK(on_outgoing_work(of, 9, now + 2 * proof_age) == path_step::send);
}

TEST_CASE("a late check gives work back, and a silent connection is replaced")
{
    path of;
    time_point const now{1000s};
    on_outgoing_work(of, 7, now);
    CHECK_FALSE(is_late(of, now + check_limit - 1ms));
    CHECK(is_late(of, now + check_limit));
    CHECK(on_outgoing_work(of, 8, now + check_limit) == path_step::give_back);
    CHECK(on_outgoing_work(of, 8, now + silence_limit) == path_step::reconnect);
    // The answer to an earlier check says nothing about this one.
    on_check_answer(of, 6);
    CHECK(is_late(of, now + check_limit));
    on_check_answer(of, 7);
    CHECK_FALSE(is_late(of, now + check_limit));
}
