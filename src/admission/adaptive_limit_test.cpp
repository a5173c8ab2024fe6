#include "adaptive_limit.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace gooseberrycove;
using namespace gooseberrycove::admission;
using namespace std::chrono_literals;

TEST_CASE("noise does not lower the limit when the declared slots are correct")
{
    // With a fixed threshold on 64 samples, one slot was lost for 7% of the
    // time.
    int windows_below = 0;
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        std::mt19937 random(seed);
        std::lognormal_distribution<double> size(10, 0.7);
        adaptive_limit limit;
        set_declared(limit, 4);
        for (int i = 0; i < 6400; ++i)
        {
            std::uint32_t const in_flight = i < 20 ? 1 : 4;
            on_latency(limit, 0,
                       duration(static_cast<duration::rep>(size(random))),
                       in_flight, true, time_point{3600s});
            windows_below += i % 64 == 0 && limit.slots < 4 ? 1 : 0;
        }
    }
    CHECK(windows_below <= 20);
}

TEST_CASE("a baseline that is low by chance does not hold the limit down")
{
    // Guards against a server that stays at 3 of 4 slots for a whole flood
    // (flood bench, seeds 109 and 116).
    int recovered = 0;
    for (unsigned seed = 1; seed <= 50; ++seed)
    {
        std::mt19937 random(seed);
        std::lognormal_distribution<double> size(10, 0.7);
        adaptive_limit limit;
        set_declared(limit, 4);
        limit.low_mean_log[0] = 9.7;
        limit.low_samples[0] = 64;
        limit.slots = 3.2;
        for (int i = 0; i < 640 && limit.slots < 4; ++i)
            on_latency(limit, 0,
                       duration(static_cast<duration::rep>(size(random))), 3,
                       true, time_point{3600s});
        recovered += limit.slots >= 4 ? 1 : 0;
    }
    CHECK(recovered >= 30);
}

TEST_CASE("the limit follows the latency gradient")
{
    // Row: true slots of a server that declares 4; lowest and highest limit
    // that a run may end with.
    struct row
    {
        double true_slots;
        double lowest;
        double highest;
    };
    auto const server = GENERATE(row{4, 4, 5}, row{2, 1, 3}, row{16, 8, 8});
    adaptive_limit limit;
    set_declared(limit, 4);
    time_point now{3600s};
    for (int i = 0; i < 4000; ++i)
    {
        // Every fourth request finds an idle server.
        std::uint32_t const in_flight =
            i % 4 == 0 ? 1 : usable_slots(limit, now, 0s, now);
        double const factor = std::max(1.0, in_flight / server.true_slots);
        on_latency(limit, 0,
                   duration(static_cast<duration::rep>(20000 * factor)),
                   in_flight, true, now);
        now += 10ms;
    }
    CHECK(limit.slots >= server.lowest);
    CHECK(limit.slots <= server.highest);
}

TEST_CASE("the limit recovers within a few successes after refusals")
{
    // Guards against a server that stays at one slot for minutes because it
    // refused everything for a few seconds.
    adaptive_limit limit;
    set_declared(limit, 4);
    for (int i = 0; i < 20; ++i)
        on_shed(limit, static_cast<std::uint32_t>(limit.slots));
    CHECK(limit.slots == 1);
    for (int i = 0; i < 3; ++i)
        on_success(limit);
    CHECK(limit.slots == 4);
    on_success(limit);
    CHECK(limit.slots == 4);
}

TEST_CASE(
    "a server that refuses a part of its requests keeps most of its slots")
{
    // Guards against overflowing queues when all servers of a service refuse 4
    // in 10 requests for some seconds, at any load: their limits fell to 1 or 2
    // of 8 slots.
    adaptive_limit limit;
    set_declared(limit, 8);
    double slots = 0;
    for (int i = 0; i < 1000; ++i)
    {
        auto const running = static_cast<std::uint32_t>(limit.slots);
        slots += running;
        if (i % 5 == 1 || i % 5 == 3)
            on_shed(limit, running);
        else
            on_success(limit);
    }
    CHECK(slots / 1000 > 6);
    // When all requests are refused, one slot is left to detect the recovery.
    for (int i = 0; i < 20; ++i)
        on_shed(limit, static_cast<std::uint32_t>(limit.slots));
    CHECK(limit.slots == 1);
}
