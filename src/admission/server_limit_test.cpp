#include "server_limit.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::admission;
using namespace std::chrono_literals;

namespace
{

time_point const start{1000s};
constexpr std::uint64_t incarnation = 7;

dispatch::answer_statement naming(double limit)
{
    dispatch::answer_statement answer;
    answer.rate_limit = limit;
    return answer;
}

/// Starts requests whenever the limit allows it until \p end.
int start_until(server_limit& limit, time_point& now, time_point end)
{
    int started = 0;
    for (; now < end; now += 1ms)
    {
        if (time_to_start(limit, 0, now) > duration(0))
            continue;
        count_start(limit, now);
        ++started;
    }
    return started;
}

} // namespace

TEST_CASE("a server gets no more than 1.5 times its limit in any 4 s")
{
    for (double const rate : {0.0, 0.5, 1.8, 4.2, 30.0})
    {
        server_limit limit;
        on_answer(limit, naming(rate), incarnation, start, start);
        // An idle time fills the bucket.
        time_point now = start + 20s;
        int const started = start_until(limit, now, start + 24s);
        CHECK(started <= 1.5 * rate * 4 + 5);
        CHECK(started >= static_cast<int>(rate * 4));
    }
}

TEST_CASE("a home that restarts keeps the limit that other daemons know")
{
    server_limit before;
    on_answer(before, naming(2), incarnation, start, start);
    time_point now = start + 10s;
    int started = start_until(before, now, start + 12s);
    server_limit after;
    CHECK(on_reported_statement(after, before.statement, incarnation, now));
    started += start_until(after, now, start + 14s);
    CHECK(started <= 1.5 * 2 * 4 + 5);
    CHECK_FALSE(
        on_reported_statement(after, before.statement, incarnation, now));
}

TEST_CASE("a statement about another start of the server is not taken over")
{
    // Guards against a new server under an old name that gets no requests.
    server_limit limit;
    server_statement leaving{true, incarnation, 0, true};
    CHECK_FALSE(on_reported_statement(limit, leaving, incarnation + 1, start));
    CHECK_FALSE(on_reported_statement(limit, {true, 0, 0, true}, 0, start));
    CHECK_FALSE(limit.statement.is_leaving);
    CHECK(on_reported_statement(limit, leaving, incarnation, start));
    CHECK(limit.statement.is_leaving);
}

TEST_CASE("a limit ends with an answer to a request begun after it was named")
{
    server_limit limit;
    on_answer(limit, naming(2), incarnation, start, start);
    CHECK_FALSE(on_answer(limit, {}, incarnation, start - 10ms, start + 1ms));
    CHECK(has_rate_limit(limit));
    CHECK(on_answer(limit, {}, incarnation, start + 2ms, start + 3ms));
    CHECK_FALSE(has_rate_limit(limit));
    CHECK(time_to_start(limit, 100, start + 3ms) == duration(0));
    // The daemons that know the former limit must learn that it has ended.
    CHECK(limit.statement.is_known);
}

TEST_CASE("a malformed statement changes nothing")
{
    server_limit limit;
    on_answer(limit, naming(2), incarnation, start, start);
    dispatch::answer_statement malformed;
    malformed.is_malformed = true;
    malformed.is_leaving = true;
    CHECK_FALSE(
        on_answer(limit, malformed, incarnation, start + 1s, start + 1s));
    CHECK(limit.statement.rate_limit == 2);
    CHECK_FALSE(limit.statement.is_leaving);
}

TEST_CASE("the wait for a limit grows with the queued requests")
{
    server_limit limit;
    on_answer(limit, naming(2), incarnation, start, start);
    CHECK(time_to_start(limit, 0, start) == 500ms);
    CHECK(time_to_start(limit, 3, start) == 2s);
}
