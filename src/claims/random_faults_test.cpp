#include "claims/fleet_simulation_test.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::claims;

TEST_CASE("each key is dispatched at most once under random faults")
{
    int replay_count = 0;
    int takeover_count = 0;
    int release_count = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        fleet_simulation fleet(seed, {});
        fleet.run(120);
        INFO("seed " << seed);
        CHECK(fleet.violations() == 0);
        replay_count += fleet.replay_count;
        takeover_count += fleet.takeover_count;
        release_count += fleet.release_count;
    }
    // The simulation must reach replays, takeovers and releases.
    CHECK(replay_count > 400);
    CHECK(takeover_count > 20);
    CHECK(release_count > 20);
}

TEST_CASE("the simulation finds violations when a protocol rule is off")
{
    protocol_rules const violations[] = {{.homes_honor_fences = false},
                                         {.homes_check_run = false}};
    for (protocol_rules const& rules : violations)
    {
        int found = 0;
        for (std::uint64_t seed = 1; seed <= 20 * seed_count && found == 0;
             ++seed)
        {
            fleet_simulation fleet(seed, rules);
            fleet.run(120);
            found = fleet.violations();
        }
        CHECK(found > 0);
    }
}
