#include "fake_server/work.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::fake_server;

namespace
{

time_point at_ms(std::int64_t ms)
{
    return time_point(duration(1'000'000 + 1000 * ms));
}

work_limits small_limits()
{
    return {.name = "cat-1", .service = "catalogue", .slots = 1, .queue = 1};
}

arrival make_arrival(std::uint64_t ticket, std::int64_t ms)
{
    arrival result;
    result.ticket = ticket;
    result.connection = ticket;
    result.request_id = "r" + std::to_string(ticket);
    result.at = at_ms(ms);
    return result;
}

/// Event and reason of each record, in order.
std::string events(actions const& out)
{
    std::string result;
    for (evidence::record const& item : out.records)
        result += item.event + (item.reason.empty() ? "" : ":" + item.reason) +
                  "(" + item.request + ") ";
    return result;
}

} // namespace

TEST_CASE("work beyond slots and queue is refused as not run")
{
    work_state state = make_work_state(small_limits(), at_ms(0));
    actions out;
    for (std::uint64_t ticket : {1, 2, 3})
        on_arrival(state, make_arrival(ticket, 0), at_ms(0), out);
    CHECK(events(out) == "start(r1) refused:queue_full(r3) ");
    REQUIRE(out.responses.size() == 1);
    CHECK(out.responses[0].kind == response_kind::refused);
    on_tick(state, at_ms(60'000), out);
    on_tick(state, at_ms(120'000), out);
    CHECK(out.responses.size() == 3);
    CHECK(out.responses[2].sequence == 2);
    CHECK(is_idle(state));
}

TEST_CASE("work past its deadline is refused only when it has not started")
{
    work_state state = make_work_state(small_limits(), at_ms(0));
    actions out;
    for (std::uint64_t ticket : {1, 2})
    {
        arrival next = make_arrival(ticket, 0);
        next.deadline = at_ms(1);
        on_arrival(state, std::move(next), at_ms(0), out);
    }
    CHECK(next_tick(state, at_ms(0)) == at_ms(1));
    on_tick(state, at_ms(1), out);
    CHECK(events(out) == "start(r1) refused:deadline(r2) ");
    CHECK(state.running.size() == 1);
}

TEST_CASE("a closed connection cancels queued work but not running work")
{
    work_state state = make_work_state(small_limits(), at_ms(0));
    actions out;
    for (std::uint64_t ticket : {1, 2})
        on_arrival(state, make_arrival(ticket, 0), at_ms(0), out);
    on_closed(state, 1, at_ms(0), out);
    on_closed(state, 2, at_ms(0), out);
    on_tick(state, at_ms(60'000), out);
    CHECK(events(out) == "start(r1) refused:cancelled(r2) finish(r1) ");
}

TEST_CASE("a draining server refuses new work and finishes accepted work")
{
    work_state state = make_work_state(small_limits(), at_ms(0));
    actions out;
    for (std::uint64_t ticket : {1, 2})
        on_arrival(state, make_arrival(ticket, 0), at_ms(0), out);
    on_drain(state);
    on_arrival(state, make_arrival(3, 0), at_ms(0), out);
    CHECK_FALSE(is_idle(state));
    on_tick(state, at_ms(60'000), out);
    on_tick(state, at_ms(120'000), out);
    CHECK(is_idle(state));
    CHECK(events(out) == "start(r1) refused:draining(r3) finish(r1) start(r2) "
                         "finish(r2) ");
}

TEST_CASE("faults fail work, and truncate, delay and withhold responses")
{
    work_state state = make_work_state(small_limits(), at_ms(0));
    actions out;
    on_faults(state,
              parse_faults(R"({"fail_rate":1,"cut_answer":1,
                               "late_answer_ms":500})",
                           at_ms(0)),
              at_ms(0), out);
    on_arrival(state, make_arrival(1, 0), at_ms(0), out);
    on_tick(state, at_ms(1000), out);
    CHECK(out.responses.empty());
    on_tick(state, at_ms(1500), out);
    REQUIRE(out.responses.size() == 1);
    CHECK(out.responses[0].kind == response_kind::failed);
    CHECK(out.responses[0].is_truncated);

    on_faults(state, parse_faults(R"({"silent_stop":true})", at_ms(2000)),
              at_ms(2000), out);
    on_arrival(state, make_arrival(2, 2000), at_ms(2000), out);
    on_tick(state, at_ms(9000), out);
    CHECK(out.responses.size() == 1);
    CHECK_FALSE(next_tick(state, at_ms(9000)));
    CHECK_THROWS_AS(parse_faults(R"({"fail_rate":2})", at_ms(0)),
                    std::invalid_argument);
}

TEST_CASE(
    "flapping faults act in every second period, with no tick before its end")
{
    work_state state = make_work_state(small_limits(), at_ms(0));
    actions out;
    on_faults(state,
              parse_faults(R"({"silent_stop":true,"flap_ms":100})", at_ms(0)),
              at_ms(0), out);
    arrival next = make_arrival(1, 0);
    next.deadline = at_ms(10'000);
    on_arrival(state, std::move(next), at_ms(50), out);
    CHECK(next_tick(state, at_ms(50)) == at_ms(100));
    on_tick(state, at_ms(100), out);
    CHECK(events(out) == "start(r1) ");
}

TEST_CASE("load_lag_ms and load_lie change the reported load")
{
    work_state state = make_work_state(small_limits(), at_ms(0));
    actions out;
    on_faults(state, parse_faults(R"({"load_lag_ms":100})", at_ms(0)), at_ms(0),
              out);
    on_tick(state, at_ms(0), out);
    on_arrival(state, make_arrival(1, 200), at_ms(200), out);
    CHECK(reported_in_flight(state, at_ms(200)) == 0);
    CHECK(reported_in_flight(state, at_ms(300)) == 1);
    on_faults(state, parse_faults(R"({"load_lie":0})", at_ms(300)), at_ms(300),
              out);
    CHECK(reported_in_flight(state, at_ms(400)) == 0);
}

TEST_CASE(
    "service times have the configured mean and are longer in a cold start")
{
    work_limits limits = small_limits();
    limits.warmup = duration(1'000'000);
    auto const mean_at = [&](std::int64_t ms)
    {
        work_state state = make_work_state(limits, at_ms(0));
        double sum = 0;
        for (std::uint64_t i = 0; i < 2000; ++i)
        {
            actions out;
            on_arrival(state, make_arrival(i, ms), at_ms(ms), out);
            duration const time = state.running[0].finish_at - at_ms(ms);
            sum += static_cast<double>(time.count());
            state.running.clear();
        }
        return sum / 2000;
    };
    CHECK(mean_at(0) == Approx(100'000).epsilon(0.05));
    CHECK(mean_at(1000) == Approx(20'000).epsilon(0.05));
}

TEST_CASE("a second response follows the first in its parts")
{
    work_state state = make_work_state(small_limits(), at_ms(0));
    faults second;
    second.second_share = 1;
    second.second = second_kind::split;
    second.second_delay = duration(10'000);
    actions out;
    on_faults(state, second, at_ms(0), out);
    on_arrival(state, make_arrival(1, 0), at_ms(0), out);
    on_tick(state, at_ms(60'000), out);
    REQUIRE(out.responses.size() == 1);
    CHECK(out.responses[0].second == second_kind::split);
    CHECK(out.second_parts.empty());
    CHECK(is_idle(state));
    REQUIRE(next_tick(state, at_ms(60'000)) == at_ms(60'010));
    on_tick(state, at_ms(60'010), out);
    CHECK(out.second_parts.size() == 1);
    on_tick(state, at_ms(60'070), out);
    REQUIRE(out.second_parts.size() == 2);
    CHECK(out.second_parts[1].ticket == 1);
    CHECK(out.second_parts[1].index == 1);
    CHECK_FALSE(next_tick(state, at_ms(60'070)));
}
