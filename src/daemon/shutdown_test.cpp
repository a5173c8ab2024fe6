#include "shutdown.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace std::chrono_literals;

namespace
{

deployment_bounds make_bounds()
{
    deployment given;
    given.shutdown_time = 6s;
    return derive_bounds(given);
}

time_point const start(100s);

} // namespace

TEST_CASE("a further SIGTERM starts the time for requests in flight anew")
{
    // Guards against views of 4 s and 12 s that were cut off 5.5 s after the
    // first signal, 3.6 s after the second (KNOWN-RED, kfw-mesh-grown, mix,
    // seed 194345360046).
    shutdown_schedule schedule = begin_shutdown(make_bounds(), start);
    CHECK(schedule.drain_end == start + 5500ms);
    shutdown_schedule const first = schedule;
    extend_shutdown(schedule, make_bounds(), start + 1900ms);
    CHECK(schedule.drain_end == start + 7400ms);
    // The process may still be killed by the first signal's time.
    CHECK(schedule.refusal_start == first.refusal_start);
    CHECK(schedule.notice_end == first.notice_end);
}

TEST_CASE("a further SIGTERM never shortens a shutdown")
{
    shutdown_schedule schedule = begin_shutdown(make_bounds(), start);
    deployment_bounds shorter = make_bounds();
    shorter.drain_limit = 1s;
    extend_shutdown(schedule, shorter, start + 1s);
    CHECK(schedule.drain_end == start + 5500ms);
}

TEST_CASE("unstarted requests are refused before the drain ends")
{
    shutdown_schedule const schedule = begin_shutdown(make_bounds(), start);
    CHECK(schedule.refusal_start < schedule.drain_end);
    CHECK(schedule.refusal_start >= schedule.notice_end);
}
