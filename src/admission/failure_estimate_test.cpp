#include "admission_test.hpp"
#include "failure_estimate.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::admission;
using namespace std::chrono_literals;

namespace
{

time_point const start{1000s};

double probability_after(std::initializer_list<observation> observations)
{
    failure_estimate estimate;
    estimate.updated_at = start;
    time_point now = start;
    for (observation const observed : observations)
    {
        now += 100ms;
        apply_observation(estimate, observed, now - 1ms, now);
    }
    return failure_probability_at(estimate, now);
}

} // namespace

TEST_CASE("one failure before any work makes a server suspected")
{
    using enum observation;
    // Guards against a series of failures of non-repeatable requests at one
    // server while the sequential test of health, which has a low rate of false
    // alarms, still collects samples.
    CHECK(probability_after({success, success, success, fast_failure}) >=
          failure_probability_limit);
    CHECK(probability_after({success, success, lost}) >=
          failure_probability_limit);
    // A failure after work is no evidence against the server: the cause may be
    // a service that it called.
    CHECK(probability_after({success, late_failure, success, late_failure}) <
          failure_probability_limit);
    CHECK(probability_after({fast_failure, success, success}) <
          failure_probability_limit);
    CHECK(probability_after({fast_failure, fast_failure, success}) >=
          failure_probability_limit);
}

TEST_CASE("a fault of a called service does not make its callers suspected")
{
    // Guards against sound servers that get no work because the service that
    // they call fails: fewer servers than the floor of their service were in
    // use (dfps trouble-3 --seed 309772235917).
    using enum observation;
    failure_estimate estimate;
    estimate.updated_at = start;
    time_point now = start;
    for (int i = 0; i < 20; ++i)
    {
        now += 50ms;
        apply_observation(estimate, late_failure, now - 40ms, now);
        CHECK(failure_probability_at(estimate, now) <
              failure_probability_limit);
    }
}

TEST_CASE("without evidence the failure probability decays to the prior")
{
    failure_estimate estimate;
    estimate.updated_at = start;
    apply_observation(estimate, observation::fast_failure, start, start);
    CHECK(failure_probability_at(estimate, start + 3s) >=
          failure_probability_limit);
    CHECK(failure_probability_at(estimate, start + 15s) <
          failure_probability_limit);
    CHECK(failure_probability_at(estimate, start + 90s) ==
          Approx(prior_failure_probability).margin(0.001));
    CHECK(failure_probability_at(estimate, start - 1s) ==
          Approx(estimate.probability));
}

TEST_CASE("work that began before a failure does not clear the server")
{
    // Guards against clearing a server that has just begun to fail, because
    // long runs from before the failure still succeed: four in five orders that
    // failed went to a server within 0.5 s of a failure.
    failure_estimate estimate;
    estimate.updated_at = start;
    apply_observation(estimate, observation::fast_failure, start, start + 2ms);
    double const probability_before = estimate.probability;
    for (int i = 0; i < 3; ++i)
        apply_observation(estimate, observation::success, start - 300ms,
                          start + 2ms);
    CHECK(estimate.probability == Approx(probability_before));
    for (int i = 0; i < 3; ++i)
        apply_observation(estimate, observation::success, start + 5ms,
                          start + 300ms);
    CHECK(estimate.probability < failure_probability_limit);
}

TEST_CASE("progress and completion together count as one success")
{
    using enum observation;
    CHECK(probability_after({fast_failure, progress, completion}) ==
          Approx(probability_after({fast_failure, success})).margin(0.01));
}

TEST_CASE("a server that fails from its first request on is suspected at once")
{
    // Guards against a home that cannot tell a fast failure before it has seen
    // a success: after each start of a daemon beside a failing server, every
    // order that it was sent was lost.
    test::fixture f;
    f.submit(f.make_request(1));
    f.finish(dispatch::result_class::answered, 2ms, 500);
    CHECK(f.state.servers.at("s1").failure.probability >=
          failure_probability_limit);
}

TEST_CASE("a failure after work is no evidence, also before the first success")
{
    // Guards against sound servers that are suspected because the service that
    // their first runs call fails.
    test::fixture f;
    f.submit(f.make_request(1));
    f.finish(dispatch::result_class::answered, 200ms, 500);
    CHECK(f.state.servers.at("s1").failure.probability <
          failure_probability_limit);
}
