#include "members/withdrawal_test.hpp"

#include "members/directory.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::members;

TEST_CASE("a restarted home does not undo the withdrawal of a server")
{
    // Guards against requests to a server that has departed or drains: the home
    // that acknowledged it restarts, and an announcement sent before arrives
    // late (review/4).
    for (server_state const withdrawn :
         {server_state::gone, server_state::draining})
    {
        for (int const steps_to_late : {0, 5, 30, 500})
        {
            INFO("state " << static_cast<int>(withdrawn) << ", "
                          << steps_to_late << " steps");
            fleet_fixture fixture;
            fixture.announce(numbered(7, withdrawn));
            // The home ends 100 ms after its acknowledgement.
            fixture.fleet.nodes[home].is_paused = true;
            for (int step = 0; step < 10; ++step)
                fixture.fleet.step();
            fixture.restart_home();
            for (int step = 0; step < steps_to_late; ++step)
                fixture.fleet.step();
            fixture.announce(numbered(6));
            CHECK(fixture.max_sending_during(500) == 0);
            CHECK(fixture.count_sending(daemon_count) == 0);
        }
    }
}

TEST_CASE("the next start of a withdrawn server is listed at once")
{
    fleet_fixture fixture;
    fixture.announce(numbered(7, server_state::gone));
    fixture.fleet.run(1);
    fixture.restart_home();
    fixture.fleet.run(1);
    fixture.announce(numbered(1, server_state::serving, start_of_server + 1));
    fixture.fleet.run(2);
    CHECK(fixture.count_sending(daemon_count) == daemon_count);
}

TEST_CASE(
    "a home that restarts without the store gets the directory from peers")
{
    // Guards against a daemon that knows no other servers for a minute: it had
    // joined nobody, because no seed and no row of the store named a peer, and
    // took the pings of its peers for a sign that it had.
    fleet_fixture fixture;
    fixture.restart_home_without_store();
    fixture.fleet.run(5);
    CHECK(fixture.fleet.listed(home, true) == fixture.fleet.servers.size());
}

TEST_CASE("a restarted home keeps the operator's drain of a server")
{
    // Guards against requests to a drained server because its home forgot the
    // drain and publishes the next announcement as serving.
    fleet_fixture fixture;
    actions out;
    on_drain_request(fixture.fleet.nodes[home].state, {"leaver", true, {}},
                     fixture.fleet.now, out);
    fixture.fleet.perform(home, out);
    fixture.fleet.run(1);
    // The peers learn of the new run before it synchronises.
    fixture.restart_home_without_store();
    fixture.fleet.nodes[home].state.next_join =
        fixture.fleet.now + duration(3'000'000);
    fixture.fleet.run(5);
    fixture.announce(numbered(9));
    CHECK(fixture.max_sending_during(500) == 0);
    CHECK(fixture.count_sending(daemon_count) == 0);
}

TEST_CASE("a restarted home keeps that a server leaves by its answers")
{
    // Guards against requests to a server that leaves and still announces that
    // it serves: its home forgot the statement of its answers.
    fleet_fixture fixture;
    actions out;
    on_server_load(fixture.fleet.nodes[home].state,
                   {"leaver", 0, 0, true, start_of_server}, fixture.fleet.now,
                   out);
    fixture.fleet.perform(home, out);
    fixture.fleet.run(1);
    fixture.restart_home();
    fixture.fleet.run(1);
    fixture.announce(numbered(9));
    CHECK(fixture.max_sending_during(500) == 0);
    CHECK(fixture.count_sending(daemon_count) == 0);
}
