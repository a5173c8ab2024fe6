#include "doubt.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::admission;
using namespace std::chrono_literals;

namespace
{

time_point const start{1000s};

double after(std::initializer_list<observation> seen)
{
    doubt of;
    of.at = start;
    time_point now = start;
    for (observation const one : seen)
    {
        now += 100ms;
        take_observation(of, one, now - 1ms, now);
    }
    return doubt_at(of, now);
}

} // namespace

TEST_CASE("one failure without any work puts a server in doubt")
{
    using enum observation;
    // Guards against a run of non-repeatable work that fails at one server
    // while a test with a low rate of false alarms still collects samples.
    CHECK(after({success, success, success, fast_failure}) >=
          failure_probability_limit);
    CHECK(after({success, success, lost}) >= failure_probability_limit);
    // A failure of one of the server's own calls says little about it.
    CHECK(after({success, late_failure, success, late_failure}) <
          failure_probability_limit);
    CHECK(after({fast_failure, success, success}) < failure_probability_limit);
    CHECK(after({fast_failure, fast_failure, success}) >=
          failure_probability_limit);
}

TEST_CASE("a fault of a called service puts no caller in doubt")
{
    // Guards against sound servers that get no work because the service that
    // they call fails: fewer than the floor of a service were in use on a
    // hunted day (dfps trouble-3 --seed 309772235917).
    using enum observation;
    doubt of;
    of.at = start;
    time_point now = start;
    for (int i = 0; i < 20; ++i)
    {
        now += 50ms;
        take_observation(of, late_failure, now - 40ms, now);
        CHECK(doubt_at(of, now) < failure_probability_limit);
    }
}

TEST_CASE("without evidence a doubt returns to the usual one")
{
    doubt of;
    of.at = start;
    take_observation(of, observation::fast_failure, start, start);
    CHECK(doubt_at(of, start + 3s) >= failure_probability_limit);
    CHECK(doubt_at(of, start + 15s) < failure_probability_limit);
    CHECK(doubt_at(of, start + 90s) ==
          Approx(prior_failure_probability).margin(0.001));
    CHECK(doubt_at(of, start - 1s) == Approx(of.probability));
}

TEST_CASE("work that began before a failure does not clear the server")
{
    // Guards against a server that has just begun to fail and is cleared by
    // the long runs that it still ends well: on the users' heaviest day four
    // in five orders that failed went to a server within 0.5 s of a failure.
    doubt of;
    of.at = start;
    take_observation(of, observation::fast_failure, start, start + 2ms);
    double const doubted = of.probability;
    for (int i = 0; i < 3; ++i)
        take_observation(of, observation::success, start - 300ms, start + 2ms);
    CHECK(of.probability == Approx(doubted));
    for (int i = 0; i < 3; ++i)
        take_observation(of, observation::success, start + 5ms, start + 300ms);
    CHECK(of.probability < failure_probability_limit);
}

TEST_CASE("progress and completion together count as one success")
{
    using enum observation;
    CHECK(after({fast_failure, progress, completion}) ==
          Approx(after({fast_failure, success})).margin(0.01));
}
