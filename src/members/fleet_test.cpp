#include "members/fleet_test.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::members;

namespace
{

constexpr std::size_t daemons = 12;
constexpr std::size_t per_service = 6;

struct fault_case
{
    char const* name;
    /// Applied to a converged fleet.
    void (*inject)(fleet&);
    double fault_s;
    /// Ends the fault.
    void (*heal)(fleet&);
    /// Convergence is due this long after the end.
    double settle_s;
    /// Servers that every daemon outside the fault lists throughout.
    std::size_t least_listed;
};

bool outside(std::size_t index)
{
    return index >= 3;
}

void no_cut(fleet& all)
{
    all.cut = {};
}

void resume(fleet& all)
{
    all.nodes[0].paused = false;
}

fault_case const cases[] = {
    {"messages of one daemon to another are lost",
     [](fleet& all)
     { all.cut = [](auto from, auto to) { return from == 3 && to == 4; }; },
     30, no_cut, 5, 24},
    {"one daemon cannot send to half of the others",
     [](fleet& all)
     {
         all.cut = [](auto from, auto to)
         { return from == 0 && to >= daemons / 2; };
     },
     30, no_cut, 15, 24},
    {"a tenth of all datagrams is lost", [](fleet& all) { all.loss = 0.1; }, 60,
     [](fleet& all) { all.loss = 0; }, 10, 24},
    {"a daemon is paused for 4 s",
     [](fleet& all) { all.nodes[0].paused = true; }, 4, resume, 10, 24},
    {"a daemon is paused for 60 s",
     [](fleet& all) { all.nodes[0].paused = true; }, 60, resume, 15, 22},
    {"a daemon is restarted with a new incarnation",
     [](fleet& all) { all.start(0, 2); }, 1, no_cut, 10, 22},
    {"a daemon crashes", [](fleet& all) { all.nodes[0].up = false; }, 1, no_cut,
     45, 22},
    {"a data centre of one third is cut off and comes back",
     [](fleet& all)
     {
         all.cut = [](auto from, auto to)
         { return (from % 3 == 0) != (to % 3 == 0); };
     },
     90, no_cut, 40, 0},
};

} // namespace

TEST_CASE("views converge and servers stay listed after each fault")
{
    for (fault_case const& fault : cases)
    {
        for (std::uint64_t const seed : {1, 2, 3})
        {
            INFO(fault.name << ", seed " << seed);
            fleet all(seed);
            all.build(daemons, per_service);
            all.run(20);
            REQUIRE(all.difference() == "");
            std::size_t least = all.servers.size();
            auto const watch = [&]
            {
                for (std::size_t index = 3; index < daemons; ++index)
                {
                    if (outside(index))
                        least = std::min(least, all.listed(index, false));
                }
            };
            fault.inject(all);
            all.run(fault.fault_s, watch);
            fault.heal(all);
            all.run(fault.settle_s, watch);
            CHECK(all.difference() == "");
            CHECK(least >= fault.least_listed);
        }
    }
}
