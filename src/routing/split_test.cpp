#include "split.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::routing;

namespace
{

config::route_view split_route(std::vector<config::split_part> parts)
{
    config::route_view route;
    route.name = "r";
    route.split = std::move(parts);
    return route;
}

} // namespace

TEST_CASE("a split keeps its shares over many daemons in every short window")
{
    // Guards against shares that hold only over many requests to one daemon:
    // 300 requests over 27 daemons are 11 for each.
    config::route_view const route = split_route({{"a", 90}, {"b", 10}});
    std::mt19937_64 random(7);
    for (int window = 0; window < 50; ++window)
    {
        double first = 0;
        for (int daemon = 0; daemon < 27; ++daemon)
        {
            split_positions positions;
            for (int i = 0; i < 11; ++i)
                first += next_part(positions, route, random) == "a" ? 1 : 0;
        }
        CHECK(first / (27 * 11) == Approx(0.9).margin(0.04));
    }
}

TEST_CASE("the shares of fractional weights are those of the weights")
{
    // Guards against a split that treats fractional weights as 0 (review/3).
    std::mt19937_64 random(3);
    split_positions positions;
    config::route_view const route =
        split_route({{"a", 0.9}, {"b", 0.075}, {"c", 0.025}});
    std::map<std::string_view, int> chosen;
    for (int i = 0; i < 4000; ++i)
        ++chosen[next_part(positions, route, random)];
    CHECK(std::abs(chosen["a"] - 3600) <= 1);
    CHECK(std::abs(chosen["b"] - 300) <= 1);
    CHECK(std::abs(chosen["c"] - 100) <= 1);
}

TEST_CASE(
    "a part with weight 0 gets no requests, and new weights apply at once")
{
    std::mt19937_64 random(1);
    split_positions positions;
    for (int i = 0; i < 100; ++i)
        next_part(positions, split_route({{"a", 1}, {"b", 99}}), random);
    for (int i = 0; i < 100; ++i)
        CHECK(next_part(positions, split_route({{"a", 1}, {"b", 0}}), random) ==
              "a");
    CHECK(next_part(positions, split_route({{"a", 0}, {"b", 0}}), random)
              .empty());
}
