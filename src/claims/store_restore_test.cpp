#include "claims/fleet_simulation_test.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::claims;

TEST_CASE("no key is dispatched twice when the store loses claims")
{
    // Guards against a second run of work whose claim was acknowledged and then
    // lost, because the store was restored from a copy of 3 s before.
    int violations_without_pause = 0;
    int restore_count = 0;
    int replay_count = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        for (bool const restores_pause_claims : {true, false})
        {
            fleet_simulation fleet(
                seed, {.restores_pause_claims = restores_pause_claims});
            fleet.has_restores = true;
            // The keys are used again after the pause.
            fleet.key_count = 8;
            fleet.run(240);
            INFO("seed " << seed);
            if (!restores_pause_claims)
            {
                violations_without_pause += fleet.violations();
                continue;
            }
            CHECK(fleet.violations() == 0);
            restore_count += fleet.restore_count;
            replay_count += fleet.replay_count;
        }
    }
    CHECK(restore_count > 100);
    CHECK(replay_count > 400);
    // Shows that the simulation finds such runs.
    CHECK(violations_without_pause > 0);
}
