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
    /// Servers that every daemon lists throughout.
    std::size_t least_listed;
};

void no_cut(fleet& all)
{
    all.cut = {};
}

void pause_first(fleet& all)
{
    all.nodes[0].paused = true;
}

void resume_first(fleet& all)
{
    all.nodes[0].paused = false;
    all.nodes[0].started = all.now;
}

/// Another machine at the same address, with another identity.
void replace(fleet& all, std::size_t index)
{
    all.start(index, {all.nodes[index].s.self.daemon.id + 100, 1});
}

void leave_and_replace(fleet& all, std::size_t index)
{
    actions out;
    on_leave(all.nodes[index].s, {}, all.now, out);
    all.perform(index, out);
    all.run(5);
    replace(all, index);
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
    {"a daemon is paused for 4 s", pause_first, 4, resume_first, 10, 22},
    {"a daemon is paused for 60 s", pause_first, 60, resume_first, 15, 22},
    {"a daemon is restarted with a new incarnation",
     [](fleet& all) {
         all.start(0, {1, 2});
     },
     1, no_cut, 10, 22},
    {"a daemon crashes", [](fleet& all) { all.nodes[0].up = false; }, 1, no_cut,
     45, 22},
    {"half of all daemons are replaced at once, all seeds among them",
     [](fleet& all)
     {
         for (std::size_t index = 0; index < daemons / 2; ++index)
             replace(all, index);
     },
     1, no_cut, 20, 24},
    {"all daemons are replaced one after another",
     [](fleet& all)
     {
         for (std::size_t index = 0; index < daemons; ++index)
         {
             all.run(5);
             replace(all, index);
         }
     },
     1, no_cut, 20, 22},
    {"all daemons leave and are replaced one after another",
     [](fleet& all)
     {
         for (std::size_t index = 0; index < daemons; ++index)
             leave_and_replace(all, index);
     },
     1, no_cut, 20, 22},
    {"a data centre of one third is cut off and comes back",
     [](fleet& all)
     {
         all.cut = [](auto from, auto to)
         { return (from % 3 == 0) != (to % 3 == 0); };
     },
     90, no_cut, 40, 8},
};

} // namespace

TEST_CASE("views converge and servers stay listed after each fault")
{
    for (fault_case const& fault : cases)
    {
        for (std::uint64_t const seed : {1, 2, 3, 8, 17})
        {
            INFO(fault.name << ", seed " << seed);
            fleet all(seed);
            all.build(daemons, per_service);
            all.run(20);
            REQUIRE(all.difference() == "");
            all.least_listed = all.servers.size();
            fault.inject(all);
            all.run(fault.fault_s);
            fault.heal(all);
            all.run(fault.settle_s);
            CHECK(all.difference() == "");
            CHECK(all.least_listed >= fault.least_listed);
        }
    }
}
