#include "flood.hpp"
#include "flood_policy.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::bench;

TEST_CASE("the policy meets the aims of a flood")
{
    // Guards against a change of admission that gives up an aim of section
    // 1.7; the bench itself runs 20 seeds and longer floods.
    auto const kind =
        GENERATE(flood_kind::least_urgent, flood_kind::most_urgent);
    run_length const length{std::chrono::seconds(10), std::chrono::seconds(20)};
    for (service_model const& model : all_services())
    {
        CAPTURE(model.deployment, model.service, static_cast<int>(kind));
        service_model const flood = flooded(model, kind);
        auto const arrivals = make_arrivals(model, flood, length, 1);
        flood_measures const got =
            measure(run_policy(flood, length, arrivals, 1), flood, length);
        if (kind == flood_kind::least_urgent)
        {
            CHECK(got.urgent_in_target >= aim_urgent_in_target);
            CHECK(got.rest_used >= aim_rest_used);
            continue;
        }
        CHECK(got.share_kept >= aim_share_kept);
        CHECK(got.urgent_fills >= aim_useful);
        CHECK(got.useful >= aim_useful);
    }
}
