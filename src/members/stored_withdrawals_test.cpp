#include "members/lease.hpp"
#include "members/row_cleanup.hpp"
#include "members/withdrawal_row.hpp"
#include "members/withdrawal_test.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::members;

namespace
{

std::string home_row_key()
{
    return withdrawal_row_key(home + 1);
}

/// Announces and returns the time until the acknowledgement.
duration time_to_acknowledgement(fleet_fixture& fixture,
                                 announcement const& details)
{
    simulated_fleet& fleet = fixture.fleet;
    time_point const sent_at = fleet.now;
    bool is_acknowledged = false;
    actions out;
    on_announce_request(fleet.nodes[home].state,
                        {details, [&](duration) { is_acknowledged = true; }},
                        fleet.now, out);
    fleet.perform(home, out);
    while (!is_acknowledged && fleet.now - sent_at < duration(5'000'000))
        fleet.step();
    return fleet.now - sent_at;
}

} // namespace

TEST_CASE("a withdrawal outlives the restart of all daemons")
{
    // Guards against requests to a server that has departed or drains: all
    // daemons end after the acknowledgement, and an announcement sent before
    // arrives late (review/10).
    for (server_state const withdrawn :
         {server_state::gone, server_state::draining})
    {
        for (int const steps_to_late : {0, 1, 30, 250, 500})
        {
            INFO("state " << static_cast<int>(withdrawn) << ", "
                          << steps_to_late << " steps");
            fleet_fixture fixture;
            time_to_acknowledgement(fixture, numbered(7, withdrawn));
            fixture.restart_all();
            for (int step = 0; step < steps_to_late; ++step)
                fixture.fleet.step();
            fixture.announce(numbered(6));
            CHECK(fixture.max_sending_during(500) == 0);
            CHECK(fixture.count_sending(daemon_count) == 0);
        }
    }
}

TEST_CASE("a server that was replaced at its address stays replaced")
{
    // Guards against work for the earlier server of an address: all daemons
    // end, and its late announcement arrives before the next one of its
    // successor.
    fleet_fixture fixture;
    announcement successor =
        numbered(1, server_state::serving, start_of_server + 1);
    successor.server = "successor";
    fixture.announce(successor);
    fixture.fleet.run(0.2);
    fixture.restart_all();
    fixture.fleet.run(0.5);
    fixture.announce(numbered(6));
    CHECK(fixture.max_sending_during(100) == 0);
}

TEST_CASE("the operator's drain outlives the restart of all daemons")
{
    // Guards against requests to a server that an operator has drained.
    fleet_fixture fixture;
    bool is_acknowledged = false;
    actions out;
    on_drain_request(
        fixture.fleet.nodes[home].state,
        {"leaver", true, [&](bool found) { is_acknowledged = found; }},
        fixture.fleet.now, out);
    fixture.fleet.perform(home, out);
    fixture.fleet.run(0.2);
    CHECK(is_acknowledged);
    fixture.restart_all();
    fixture.fleet.run(1);
    fixture.announce(numbered(9));
    fixture.fleet.run(1);
    CHECK(fixture.max_sending_during(300) == 0);
    CHECK(fixture.count_sending(daemon_count) == 0);
}

TEST_CASE("the next start of a server is taken at once after a restart of all")
{
    // Guards against a fleet that refuses the servers that started while it was
    // down.
    fleet_fixture fixture;
    time_to_acknowledgement(fixture, numbered(7, server_state::gone));
    fixture.restart_all();
    fixture.announce(numbered(1, server_state::serving, start_of_server + 1));
    CHECK(find_homed_server(fixture.fleet.nodes[home].state, "leaver"));
    fixture.fleet.run(3);
    CHECK(fixture.count_sending(daemon_count) == daemon_count);
}

TEST_CASE("a withdrawal is acknowledged in time while the store is out")
{
    // Guards against a server that exits without an acknowledgement: a home
    // must answer within a second, and with the store it waits for the row.
    fleet_fixture fixture;
    CHECK(
        time_to_acknowledgement(fixture, numbered(7, server_state::draining)) <=
        duration(100'000));
    CHECK(fixture.fleet.rows.contains(home_row_key()));
    fixture.fleet.is_store_down = true;
    duration const wait =
        time_to_acknowledgement(fixture, numbered(9, server_state::gone));
    CHECK(wait >= duration(200'000));
    CHECK(wait <= duration(700'000));
    // The row is written as soon as the store is back.
    fixture.fleet.is_store_down = false;
    fixture.fleet.run(2);
    fixture.restart_all();
    fixture.fleet.run(1);
    fixture.announce(numbered(8));
    CHECK(fixture.max_sending_during(300) == 0);
}

TEST_CASE("without the store a late announcement alone lists no server")
{
    // Guards against requests to a departed server after a restart of all
    // daemons during an outage of the store, and against a fleet that stays
    // empty meanwhile.
    fleet_fixture fixture;
    fixture.fleet.is_store_down = true;
    fixture.restart_all();
    fixture.fleet.run(1);
    fixture.announce(numbered(6));
    // What a partition held up arrives together.
    fixture.announce(numbered(7));
    CHECK(fixture.max_sending_during(300) == 0);
    fixture.announce(numbered(8));
    fixture.fleet.run(10);
    CHECK(fixture.fleet.listed(home, true) == fixture.fleet.servers.size());
}

TEST_CASE("a renewed drain and a lost reply cost no further writes")
{
    // Guards against a write for each announcement of a draining server, and
    // against a row that stays behind after a write whose reply was lost.
    fleet_fixture fixture;
    simulated_fleet& fleet = fixture.fleet;
    time_to_acknowledgement(fixture, numbered(7, server_state::draining));
    std::uint64_t const version = fleet.rows.at(home_row_key()).version;
    for (std::uint64_t sequence = 8; sequence < 20; ++sequence)
        time_to_acknowledgement(fixture,
                                numbered(sequence, server_state::draining));
    CHECK(fleet.rows.at(home_row_key()).version == version);
    fleet.nodes[home].state.stored.version = version + 1000;
    CHECK(time_to_acknowledgement(fixture, numbered(40, server_state::gone)) <=
          duration(200'000));
    CHECK(fleet.rows.at(home_row_key()).version > version);
}

TEST_CASE("servers that leave together share the writes of their home")
{
    // Guards against a rate of writes beyond the platform's limit when a data
    // centre leaves.
    fleet_fixture fixture;
    actions out;
    for (int number = 0; number < 40; ++number)
    {
        announcement details = numbered(7, server_state::gone);
        details.server = fmt::format("leaver-{}", number);
        on_announce_request(fixture.fleet.nodes[home].state, {details, {}},
                            fixture.fleet.now, out);
    }
    std::uint64_t const before = fixture.fleet.last_row_version;
    fixture.fleet.perform(home, out);
    fixture.fleet.run(1);
    CHECK(fixture.fleet.last_row_version - before <= 2);
    auto const record =
        parse_withdrawal_record(fixture.fleet.rows.at(home_row_key()).value);
    REQUIRE(record);
    CHECK(record->withdrawals.size() == 40);
}

TEST_CASE("the row of a home stays below the platform's limit")
{
    // Guards against a write that is refused for its size again and again, so
    // that no withdrawal is stored.
    fleet_fixture fixture;
    actions out;
    for (int number = 0; number < 400; ++number)
    {
        announcement details = numbered(7, server_state::gone);
        details.server = fmt::format("{}{}", number, std::string(1000, '"'));
        on_announce_request(fixture.fleet.nodes[home].state, {details, {}},
                            fixture.fleet.now, out);
    }
    fixture.fleet.perform(home, out);
    fixture.fleet.run(1);
    std::string const& value = fixture.fleet.rows.at(home_row_key()).value;
    CHECK(value.size() < 60'000);
    CHECK(parse_withdrawal_record(value)->withdrawals.size() >= 5);
}

TEST_CASE("rows of homes that have ended for good are deleted")
{
    // Guards against a table that grows with each VM that is replaced.
    fleet_fixture fixture;
    simulated_fleet& fleet = fixture.fleet;
    membership_state& state = fleet.nodes[home].state;
    std::uint64_t const hour_ms = 3'600'000;
    state.unix_start_ms = 100 * 24 * hour_ms;
    withdrawal_record record{state.unix_start_ms, {}, {}};
    auto const put = [&](std::uint64_t id)
    {
        std::string const key = withdrawal_row_key(id);
        fleet.rows[key] = {key, ++fleet.last_row_version,
                           render_withdrawal_record(record)};
    };
    put(50);
    record.unix_ms -= 2 * hour_ms;
    put(51);
    record.drains.push_back({"server", 1});
    put(52);
    record.unix_ms -= 40 * 24 * hour_ms;
    put(53);
    store::reply scan;
    scan.number = scan_withdrawals_number;
    fleet.read_rows(withdrawal_row_prefix, scan);
    actions out;
    delete_abandoned_rows(state, scan, fleet.now, out);
    fleet.perform(home, out);
    CHECK(fleet.rows.contains(withdrawal_row_key(50)));
    CHECK_FALSE(fleet.rows.contains(withdrawal_row_key(51)));
    CHECK(fleet.rows.contains(withdrawal_row_key(52)));
    CHECK_FALSE(fleet.rows.contains(withdrawal_row_key(53)));
}

TEST_CASE("the row of a home keeps its content")
{
    withdrawal_record const record{
        5,
        {{"a \"b\"", {7, departure_sequence}, server_state::gone, 4},
         {"c", {8, 3}, server_state::draining, 5}},
        {{"d", 3}}};
    auto const parsed =
        parse_withdrawal_record(render_withdrawal_record(record));
    REQUIRE(parsed);
    REQUIRE(parsed->withdrawals.size() == 2);
    CHECK(parsed->unix_ms == 5);
    CHECK(parsed->withdrawals[0].server == "a \"b\"");
    CHECK(parsed->withdrawals[0].number ==
          announcement_number{7, departure_sequence});
    CHECK(parsed->withdrawals[0].state == server_state::gone);
    CHECK(parsed->withdrawals[1].state == server_state::draining);
    CHECK(parsed->withdrawals[1].unix_ms == 5);
    REQUIRE(parsed->drains.size() == 1);
    CHECK(parsed->drains[0].changes == 3);
    CHECK_FALSE(parse_withdrawal_record("{}"));
    CHECK_FALSE(parse_withdrawal_record(""));
}
