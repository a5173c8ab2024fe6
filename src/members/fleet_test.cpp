#include "members/fleet_test.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::members;

namespace
{

constexpr std::size_t daemon_count = 12;
constexpr std::size_t per_service = 6;

struct fault_case
{
    char const* name;
    /// Starts the fault in a converged fleet.
    void (*inject)(simulated_fleet&);
    double fault_s;
    /// Ends the fault.
    void (*heal)(simulated_fleet&);
    /// The fleet must have converged this time after the end of the fault.
    double settle_s;
    /// Number of servers that every daemon must list at all times.
    std::size_t min_listed;
};

void restore_links(simulated_fleet& fleet)
{
    fleet.is_link_down = {};
}

void pause_first(simulated_fleet& fleet)
{
    fleet.nodes[0].is_paused = true;
}

void resume_first(simulated_fleet& fleet)
{
    fleet.nodes[0].is_paused = false;
    fleet.nodes[0].started = fleet.now;
}

/// Starts a daemon with another id at the same address.
void replace_daemon(simulated_fleet& fleet, std::size_t index)
{
    fleet.start(index,
                {fleet.nodes[index].state.own_record.daemon.id + 100, 1});
}

void leave_and_replace(simulated_fleet& fleet, std::size_t index)
{
    actions out;
    on_leave(fleet.nodes[index].state, {}, fleet.now, out);
    fleet.perform(index, out);
    fleet.run(5);
    replace_daemon(fleet, index);
}

fault_case const cases[] = {
    {"messages of one daemon to another are lost",
     [](simulated_fleet& fleet)
     {
         fleet.is_link_down = [](auto sender, auto receiver)
         { return sender == 3 && receiver == 4; };
     },
     30, restore_links, 5, 24},
    {"one daemon cannot send to half of the others",
     [](simulated_fleet& fleet)
     {
         fleet.is_link_down = [](auto sender, auto receiver)
         { return sender == 0 && receiver >= daemon_count / 2; };
     },
     30, restore_links, 15, 24},
    {"a tenth of all datagrams is lost",
     [](simulated_fleet& fleet) { fleet.loss_percent = 10; }, 60,
     [](simulated_fleet& fleet) { fleet.loss_percent = 0; }, 10, 24},
    {"a daemon is paused for 4 s", pause_first, 4, resume_first, 10, 22},
    {"a daemon is paused for 60 s", pause_first, 60, resume_first, 15, 22},
    {"a daemon is restarted with a new incarnation",
     [](simulated_fleet& fleet) {
         fleet.start(0, {1, 2});
     },
     1, restore_links, 10, 22},
    {"a daemon crashes",
     [](simulated_fleet& fleet) { fleet.nodes[0].is_up = false; }, 1,
     restore_links, 45, 22},
    {"half of all daemons are replaced at once, all seeds among them",
     [](simulated_fleet& fleet)
     {
         for (std::size_t index = 0; index < daemon_count / 2; ++index)
             replace_daemon(fleet, index);
     },
     1, restore_links, 20, 24},
    {"all daemons are replaced one after another",
     [](simulated_fleet& fleet)
     {
         for (std::size_t index = 0; index < daemon_count; ++index)
         {
             fleet.run(5);
             replace_daemon(fleet, index);
         }
     },
     1, restore_links, 20, 22},
    {"all daemons leave and are replaced one after another",
     [](simulated_fleet& fleet)
     {
         for (std::size_t index = 0; index < daemon_count; ++index)
             leave_and_replace(fleet, index);
     },
     1, restore_links, 20, 22},
    {"a data centre with a third of the daemons is partitioned for 90 s",
     [](simulated_fleet& fleet)
     {
         fleet.is_link_down = [](auto sender, auto receiver)
         { return (sender % 3 == 0) != (receiver % 3 == 0); };
     },
     90, restore_links, 40, 8},
};

} // namespace

TEST_CASE("views converge and servers stay listed after each fault")
{
    for (fault_case const& fault : cases)
    {
        for (std::uint64_t const seed : {1, 2, 3, 8, 17})
        {
            INFO(fault.name << ", seed " << seed);
            simulated_fleet fleet(seed);
            fleet.build(daemon_count, per_service);
            fleet.run(20);
            REQUIRE(fleet.difference() == "");
            fleet.min_listed = fleet.servers.size();
            fault.inject(fleet);
            fleet.run(fault.fault_s);
            fault.heal(fleet);
            fleet.run(fault.settle_s);
            CHECK(fleet.difference() == "");
            CHECK(fleet.min_listed >= fault.min_listed);
            // Updates that gossip missed arrive by the next synchronisation.
            fleet.run(70);
            CHECK(fleet.digests_agree());
            CHECK(fleet.difference() == "");
        }
    }
}
