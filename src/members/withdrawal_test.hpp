#ifndef GOOSEBERRYCOVE_MEMBERS_WITHDRAWAL_TEST_HPP
#define GOOSEBERRYCOVE_MEMBERS_WITHDRAWAL_TEST_HPP

#include "members/fleet_test.hpp"

#include <catch2/catch.hpp>

namespace gooseberrycove::members
{

inline constexpr std::size_t daemon_count = 5;
inline constexpr std::size_t home = 3;
inline constexpr std::uint64_t start_of_server = 100;

inline announcement numbered(std::uint64_t sequence,
                             server_state state = server_state::serving,
                             std::uint64_t incarnation = start_of_server)
{
    announcement details;
    details.server = "leaver";
    details.service = "service-0";
    details.address = "127.0.0.1:9";
    details.slots = 4;
    details.incarnation = incarnation;
    details.sequence = sequence;
    details.state = state;
    details.lease = duration(6'000'000);
    return details;
}

/// A converged fleet with a server that does not announce itself regularly.
struct fleet_fixture
{
    simulated_fleet fleet{1};

    fleet_fixture()
    {
        fleet.build(daemon_count, 2);
        fleet.run(20);
        announce(numbered(1));
        fleet.run(2);
        REQUIRE(count_sending(daemon_count) == daemon_count);
    }

    void announce(announcement const& details)
    {
        actions out;
        on_announce_request(fleet.nodes[home].state, {details, {}}, fleet.now,
                            out);
        fleet.perform(home, out);
    }

    /// All daemons end at the same time, and what they had sent is lost.
    void restart_all()
    {
        fleet.messages_in_flight.clear();
        for (std::size_t index = 0; index < daemon_count; ++index)
        {
            daemon_ref run = fleet.nodes[index].state.own_record.daemon;
            ++run.incarnation;
            fleet.start(index, run);
        }
    }

    void restart_home()
    {
        daemon_ref run = fleet.nodes[home].state.own_record.daemon;
        ++run.incarnation;
        fleet.start(home, run);
    }

    void restart_home_without_store()
    {
        restart_home();
        fleet.nodes[home].state.seeds.clear();
        fleet.rows.clear();
    }

    /// Number of daemons, without \p ignored, that may send work to the server.
    std::size_t count_sending(std::size_t ignored) const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < fleet.nodes.size(); ++index)
        {
            auto const view = fleet.nodes[index].views.find("service-0");
            if (index == ignored || view == fleet.nodes[index].views.end())
                continue;
            count += std::ranges::count_if(
                view->second->candidates,
                [](candidate const& entry)
                {
                    return entry.server == "leaver" && entry.is_home_alive &&
                           entry.state == server_state::serving;
                });
        }
        return count;
    }

    /// The highest count_sending() of the other daemons in this time.
    std::size_t max_sending_during(int steps)
    {
        std::size_t highest = 0;
        for (; steps > 0; --steps)
        {
            fleet.step();
            highest = std::max(highest, count_sending(home));
        }
        return highest;
    }
};

} // namespace gooseberrycove::members

#endif
