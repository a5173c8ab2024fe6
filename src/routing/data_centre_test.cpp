#include "candidates.hpp"
#include "data_centre.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace gooseberrycove;
using namespace gooseberrycove::routing;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t slots = 5;

/// Six servers in dc1 with \p local busy slots each, six elsewhere with \p
/// other.
std::vector<members::candidate> two_data_centres(std::uint32_t local,
                                                 std::uint32_t other)
{
    std::vector<members::candidate> made(12);
    for (std::size_t i = 0; i < made.size(); ++i)
    {
        made[i].server = "s" + std::to_string(i);
        made[i].slots = slots;
        made[i].home = {i + 1, 1};
        made[i].home_data_centre = i < 6 ? "dc1" : "dc2";
        made[i].in_flight = i < 6 ? local : other;
    }
    return made;
}

double cost_of_answer(double bytes)
{
    return crossing_cost({10, 300, {bytes, 0.3, true}, 4s});
}

double share_leaving(std::span<members::candidate const> candidates,
                     std::span<standing const> standings, double cost,
                     std::mt19937_64& random)
{
    int left = 0;
    for (int i = 0; i < 2000; ++i)
    {
        choice const chosen = choose(
            {candidates, standings, {}, {}, "dc1", false, false, {}, {}, cost},
            random);
        left += chosen.candidate->home_data_centre == "dc2";
    }
    return left / 2000.0;
}

/// Servers of one data centre as one queue in front of all slots.
struct played_data_centre
{
    double running_and_queued = 0;
    double capacity;
    double rate;
    double peak_load = 0;
    double load() const { return running_and_queued / capacity; }
};

} // namespace

TEST_CASE("requests leave by the local load and by the bytes of the answer")
{
    // Guards against exports of 90 KB that cross at every small difference in
    // load, and against lookups that queue beside free servers.
    struct row
    {
        std::uint32_t local, other;
        double min_small, max_small, min_large, max_large;
    };
    auto const one = GENERATE(values<row>({
        {1, 0, 0, 0, 0, 0},          // low: nothing is gained by leaving
        {4, 1, 0, 0, 0, 0},          // high, but with free slots
        {8, 1, 0.2, 0.5, 0, 0},      // queues of 0.8 service times
        {8, 8, 0, 0, 0, 0},          // the others are as busy
        {25, 2, 0.7, 1, 0.3, 0.6},   // far over: exports leave too
        {25, 12, 0.3, 0.6, 0, 0.15}, // less room there, fewer leave
    }));
    INFO(one.local << " busy here, " << one.other << " there");
    auto const candidates = two_data_centres(one.local, one.other);
    std::vector<standing> const standings(12, standing::healthy);
    std::mt19937_64 random(1);
    double const small =
        share_leaving(candidates, standings, cost_of_answer(500), random);
    double const large =
        share_leaving(candidates, standings, cost_of_answer(90'000), random);
    CHECK((small >= one.min_small && small <= one.max_small));
    CHECK((large >= one.min_large && large <= one.max_large));
}

TEST_CASE("failing local servers are left whatever the bytes cost")
{
    // Guards against a price that keeps requests at servers that fail.
    auto candidates = two_data_centres(0, 4);
    std::vector<standing> standings(12, standing::healthy);
    std::mt19937_64 random(1);
    double const cost = cost_of_answer(90'000);
    CHECK(share_leaving(candidates, standings, cost, random) == 0);
    for (standing const value : {standing::suspected, standing::ejected})
    {
        std::fill_n(standings.begin(), 6, value);
        CHECK(share_leaving(candidates, standings, cost, random) == 1);
    }
    std::fill_n(standings.begin(), 6, standing::skipped);
    CHECK(share_leaving(candidates, standings, cost, random) == 1);
    candidates.erase(candidates.begin(), candidates.begin() + 6);
    standings.resize(6);
    standings.assign(6, standing::healthy);
    CHECK(share_leaving(candidates, standings, cost, random) == 1);
}

TEST_CASE("on news 5 s old, the excess leaves and does not flood the others")
{
    // Guards against a whole data centre that moves at once on the same stale
    // news. Demand at dc1 is 4/3 of its capacity, dc2 is at 0.4.
    double const service_seconds = 0.4;
    double const step = 0.02;
    played_data_centre here{0, 30, 100};
    played_data_centre there{0, 60, 60};
    std::deque<std::pair<double, double>> news(250, {0, 0});
    std::mt19937_64 random(1);
    double crossed = 0;
    double waited = 0;
    for (int i = 0; i < 3000; ++i)
    {
        auto const [local, other] = news.front();
        news.pop_front();
        double const share = leaving_share({local, slots, 0}, {other, slots, 0},
                                           cost_of_answer(500));
        double const leaving = here.rate * share;
        crossed += leaving * step;
        here.running_and_queued += (here.rate - leaving) * step;
        there.running_and_queued += (there.rate + leaving) * step;
        for (played_data_centre* side : {&here, &there})
        {
            side->running_and_queued -=
                std::min(side->running_and_queued, side->capacity) * step /
                service_seconds;
            side->peak_load = std::max(side->peak_load, side->load());
        }
        waited += step * std::max(0.0, here.load() - 1) * service_seconds;
        news.emplace_back(here.load(), there.load());
    }
    double const seconds = 3000 * step;
    INFO("crossed " << crossed / seconds << "/s, mean wait " << waited / seconds
                    << " s, peaks " << here.peak_load << " "
                    << there.peak_load);
    CHECK(there.peak_load < 1.2);
    CHECK(crossed / seconds > 20);
    CHECK(crossed / seconds < 50);
    CHECK(waited / seconds < 2);
}

TEST_CASE("the price follows the bytes, the time left and the learned delay")
{
    route_means_map routes;
    for (int i = 0; i < 100; ++i)
        record_answer(routes, "export", 90'000, 270ms);
    route_means const means = means_of(routes, "export");
    CHECK(means.answer_bytes == Approx(90'000));
    CHECK(means.service_seconds == Approx(0.27));
    CHECK(crossing_cost({10, 300, means, 4s}) == Approx(2));
    CHECK(crossing_cost({10, 300, means, 1s}) == Approx(0.25 / 0.27));
    CHECK(crossing_cost({10, 300, means_of(routes, "new"), 4s}) < 0.3);
    // Guards against an export that asks every full home here before it leaves.
    CHECK(crossing_cost({10, 300, means, 4s, 0, 4}) == Approx(0));
    path_delays delays;
    record_path(delays, false, 302ms, 300ms);
    CHECK(added_seconds(delays) == 0);
    record_path(delays, true, 311ms, 300ms);
    record_path(delays, true, 900ms, 300ms);
    CHECK(added_seconds(delays) == Approx(0.009).margin(0.001));
}
