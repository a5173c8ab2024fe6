#include "members/directory.hpp"
#include "members/gossip.hpp"
#include "members/peers.hpp"
#include "members/state.hpp"
#include "members/stored_withdrawals.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace gooseberrycove;
using namespace gooseberrycove::members;

namespace
{

constexpr time_point start_time{duration(1'000'000'000)};
constexpr daemon_ref own_daemon{1, 5};
constexpr daemon_ref other_daemon{2, 3};

duration seconds(int value)
{
    return duration(value * 1'000'000);
}

peer_record record_of(daemon_ref daemon)
{
    peer_record record;
    record.daemon = daemon;
    record.name = fmt::format("daemon-{}", daemon.id);
    record.data_centre = "dc0";
    record.address = fmt::format("127.0.0.1:{}", 1000 + daemon.id);
    record.admin_address = fmt::format("127.0.0.1:{}", 3000 + daemon.id);
    return record;
}

server_record server_of(daemon_ref home, std::uint64_t sequence,
                        server_state state = server_state::serving)
{
    server_record record;
    record.server = "server-1";
    record.service = "orders";
    record.slots = 4;
    record.state = state;
    record.home = home;
    record.sequence = sequence;
    return record;
}

/// A daemon with one peer.
struct daemon_fixture
{
    membership_state state =
        make_state(record_of(own_daemon), {}, 1, start_time);
    time_point now = start_time;
    actions out;
    std::uint64_t row_version = 0;

    daemon_fixture()
    {
        receive(other_daemon);
        reply_from_store(read_withdrawals_number, store::status::not_found);
    }

    void reply_from_store(std::uint64_t number, store::status result,
                          std::vector<store::row> rows = {})
    {
        on_store_reply(state, {number, result, std::move(rows), {}}, now, out);
    }

    /// The store applies the write of the withdrawals that is due.
    void store_withdrawals()
    {
        run_stored_withdrawals(state, now, out);
        if (!std::exchange(out.store_requests, {}).empty())
            reply_from_store(write_withdrawals_number, store::status::ok,
                             {{"", ++row_version, {}}});
        run_stored_withdrawals(state, now, out);
    }

    packet packet_from(daemon_ref sender)
    {
        packet result;
        result.kind = packet_kind::ack;
        result.sender = sender;
        result.sender_address = record_of(sender).address;
        result.peers.push_back(record_of(sender));
        return result;
    }

    void receive(daemon_ref sender)
    {
        on_packet(state, packet_from(sender), now, out);
    }

    void receive(server_record const& record)
    {
        packet received = packet_from(other_daemon);
        received.servers.push_back(record);
        on_packet(state, received, now, out);
    }

    void announce(server_state requested_state = server_state::serving)
    {
        announcement details;
        details.server = "server-1";
        details.service = "orders";
        details.address = "127.0.0.2:80";
        details.slots = 4;
        details.state = requested_state;
        details.lease = seconds(6);
        on_announce_request(state, {details, {}}, now, out);
    }

    void wait(duration remaining)
    {
        for (; remaining > duration(0); remaining -= duration(50'000))
        {
            now += duration(50'000);
            on_tick(state, now, out);
        }
    }

    server_entry entry() { return *find_entry(state, "server-1"); }
};

} // namespace

TEST_CASE("a directory record replaces an earlier one and never a later one")
{
    struct order_case
    {
        server_record first;
        server_record second;
        bool is_second_kept;
    };
    daemon_ref const restarted{2, 4};
    daemon_ref const third{3, 1};
    order_case const cases[] = {
        {server_of(other_daemon, 5), server_of(other_daemon, 6), true},
        {server_of(other_daemon, 5), server_of(other_daemon, 4), false},
        {server_of(other_daemon, 5), server_of(restarted, 1), true},
        {server_of(restarted, 1), server_of(other_daemon, 5), false},
        {server_of(other_daemon, 5), server_of(third, 6), true},
        {server_of(other_daemon, 5), server_of(third, 4), false},
        {server_of(other_daemon, 5, server_state::gone),
         server_of(other_daemon, 4), false},
    };
    for (order_case const& order : cases)
    {
        daemon_fixture daemon;
        daemon.receive(order.first);
        daemon.receive(order.second);
        CHECK((daemon.entry().home == order.second.home &&
               daemon.entry().sequence == order.second.sequence) ==
              order.is_second_kept);
    }
}

TEST_CASE("a lease is renewed, expires, and is extended after a pause")
{
    daemon_fixture daemon;
    daemon.announce();
    daemon.wait(seconds(4));
    daemon.announce();
    daemon.wait(seconds(4));
    CHECK(daemon.entry().state == server_state::serving);
    // After a pause of 60 s announcements are still queued in the sockets, so
    // the lease must not expire at once.
    daemon.now += seconds(60);
    on_tick(daemon.state, daemon.now, daemon.out);
    CHECK(daemon.entry().state == server_state::serving);
    daemon.wait(seconds(7));
    CHECK(daemon.entry().state == server_state::gone);
    CHECK(daemon.out.homed_changes.back().is_gone);
}

TEST_CASE("the operator's drain survives renewals and a lapsed lease")
{
    daemon_fixture daemon;
    daemon.announce();
    on_drain_request(daemon.state, {"server-1", true, {}}, daemon.now,
                     daemon.out);
    daemon.announce();
    CHECK(daemon.entry().state == server_state::draining);
    CHECK(daemon.out.homed_changes.back().details.state ==
          server_state::draining);
    daemon.wait(seconds(7));
    CHECK(daemon.entry().state == server_state::gone);
    daemon.announce();
    CHECK(daemon.entry().state == server_state::draining);
    on_drain_request(daemon.state, {"server-1", false, {}}, daemon.now,
                     daemon.out);
    CHECK(daemon.entry().state == server_state::serving);
    daemon.announce(server_state::draining);
    CHECK(daemon.entry().state == server_state::draining);
}

TEST_CASE("the operator's drain is kept when the server changes its home")
{
    // Guards against requests to a drained server after its home has crashed
    // and it has announced itself to another one.
    server_record drained = server_of(other_daemon, 7, server_state::draining);
    drained.drain_changes = 1;
    daemon_fixture new_home;
    new_home.receive(drained);
    new_home.announce();
    CHECK(new_home.entry().state == server_state::draining);
    CHECK(new_home.out.homed_changes.back().details.state ==
          server_state::draining);

    // The new home receives the drain only after the announcement, also when
    // it is the former home after a restart.
    for (daemon_ref const former_home :
         {other_daemon, daemon_ref{own_daemon.id, 4}})
    {
        daemon_fixture early_home;
        early_home.announce();
        drained.home = former_home;
        drained.sequence = early_home.entry().sequence - 1;
        early_home.receive(drained);
        CHECK(early_home.entry().state == server_state::draining);
        on_drain_request(early_home.state, {"server-1", false, {}},
                         early_home.now, early_home.out);
        early_home.receive(drained);
        CHECK(early_home.entry().state == server_state::serving);
        CHECK(make_record(early_home.state, 0).drain_changes == 2);
    }

    // Guards against the loss of a drain whose home crashes right after it, and
    // of a drain in a record that loses against the entry and is not spread.
    daemon_fixture draining_home;
    draining_home.announce();
    draining_home.out = actions{};
    on_drain_request(draining_home.state, {"server-1", true, {}},
                     draining_home.now, draining_home.out);
    auto const& sent =
        std::get<packet>(draining_home.out.to_peers.at(0).content);
    CHECK(sent.servers.at(0).drain_changes == 1);
    daemon_fixture third_daemon;
    third_daemon.receive(server_of(other_daemon, 9));
    third_daemon.state.updates.clear();
    drained.home = other_daemon;
    drained.sequence = 7;
    third_daemon.receive(drained);
    CHECK(third_daemon.state.updates.size() == 1);
}

TEST_CASE("the former home drops a server that moved to another home")
{
    daemon_fixture daemon;
    daemon.announce();
    daemon.receive(server_of(other_daemon, daemon.entry().sequence + 1));
    CHECK(daemon.entry().home == other_daemon);
    CHECK(daemon.out.homed_changes.back().is_gone);
    CHECK(daemon.state.homed_servers.empty());
    daemon.announce();
    CHECK(daemon.entry().home == own_daemon);
    CHECK_FALSE(daemon.out.homed_changes.back().is_gone);
}

TEST_CASE("packets stay within the limit and updates are sent 3 log2(n) times")
{
    daemon_fixture daemon;
    for (std::uint64_t id = 10; id < 100; ++id)
        daemon.receive({id, 1});
    std::size_t const count = transmit_limit(daemon.state);
    CHECK(count == 20);
    daemon.announce();
    std::size_t sent_updates = 0;
    std::size_t largest = 0;
    daemon.out = actions{};
    for (int index = 0; index < 2000; ++index)
        send_packet(daemon.state,
                    make_packet(daemon.state, packet_kind::ping, 1), "", 0,
                    daemon.out);
    for (peer::outgoing const& outgoing : daemon.out.to_peers)
    {
        auto const& sent_packet = std::get<packet>(outgoing.content);
        largest = std::max(largest, estimate_size(sent_packet));
        sent_updates += sent_packet.servers.size();
    }
    CHECK(sent_updates == count);
    CHECK(largest <= 1200);
    CHECK(daemon.state.updates.empty());
}

TEST_CASE("gossip in another daemon's ack does not mark a suspect alive")
{
    // Guards against a dead daemon that is marked alive: the daemon on the
    // replacement machine replies to the probe at the same address, and its ack
    // carries a gossiped record of the dead one.
    bool const is_relayed = GENERATE(false, true);
    daemon_fixture daemon;
    packet first_packet = daemon.packet_from(other_daemon);
    on_packet(daemon.state, first_packet, daemon.now, daemon.out);
    daemon_ref const replaced_daemon = first_packet.sender;
    find_peer(daemon.state, replaced_daemon.id)->record.state =
        peer_state::suspect;
    probe pending;
    pending.number = 900;
    pending.target = replaced_daemon;
    pending.address = first_packet.sender_address;
    daemon.state.probes.push_back(pending);
    packet ack;
    ack.kind = packet_kind::ack;
    ack.number = 900;
    ack.sender = {777, 1};
    ack.sender_address =
        is_relayed ? "127.0.0.9:1" : first_packet.sender_address;
    peer_record replacement;
    replacement.daemon = {777, 1};
    replacement.address = ack.sender_address;
    peer_record gossiped;
    gossiped.daemon = replaced_daemon;
    gossiped.address = first_packet.sender_address;
    gossiped.state = peer_state::suspect;
    peer_record third_record;
    third_record.daemon = {778, 1};
    third_record.address = "127.0.0.8:1";
    ack.peers = {replacement};
    if (is_relayed)
        ack.peers.push_back(third_record);
    ack.peers.push_back(gossiped);
    on_packet(daemon.state, ack, daemon.now, daemon.out);
    CHECK(find_peer(daemon.state, replaced_daemon.id)->record.state !=
          peer_state::alive);
}

TEST_CASE("an alarm requests reports from the other homes at once")
{
    daemon_fixture daemon;
    daemon.announce();
    server_record sibling = server_of(other_daemon, 1);
    sibling.server = "server-2";
    daemon.receive(sibling);
    daemon.out = actions{};
    health::status_update alarm;
    alarm.status.server = "server-1";
    alarm.requests_reports = true;
    on_status_update(daemon.state, alarm, daemon.now, daemon.out);
    auto const& status_request =
        std::get<packet>(daemon.out.to_peers.at(0).content);
    CHECK(status_request.kind == packet_kind::status);
    CHECK(status_request.number != 0);
    packet sibling_packet = daemon.packet_from(other_daemon);
    sibling_packet.kind = packet_kind::status;
    server_status sibling_status;
    sibling_status.server = "server-2";
    sibling_status.service = "orders";
    sibling_status.sequence = 1;
    sibling_packet.statuses.push_back(sibling_status);
    sibling_packet.number = 1;
    daemon.out = actions{};
    on_packet(daemon.state, sibling_packet, daemon.now, daemon.out);
    CHECK(daemon.out.sibling_reports.size() == 1);
    // The reply carries a fresh report of health, not the counts of the last
    // period.
    REQUIRE(daemon.out.report_requests.size() == 1);
    CHECK(daemon.out.to_peers.empty());
    health::status_update report;
    report.status.server = "server-1";
    report.status.samples = 7;
    report.is_reply = true;
    on_status_update(daemon.state, report, daemon.now, daemon.out);
    auto const& sent_status =
        std::get<packet>(daemon.out.to_peers.at(0).content).statuses.at(0);
    CHECK(sent_status.samples == 7);
    on_packet(daemon.state, sibling_packet, daemon.now, daemon.out);
    CHECK(daemon.out.sibling_reports.size() == 1);
}

namespace
{

announcement server_at(std::string const& server, std::uint64_t incarnation,
                       std::uint64_t sequence,
                       server_state requested_state = server_state::serving)
{
    announcement details;
    details.server = server;
    details.service = "orders";
    details.address = "127.0.0.1:9000";
    details.slots = 4;
    details.incarnation = incarnation;
    details.sequence = sequence;
    details.state = requested_state;
    return details;
}

/// Names of the servers that are homed here.
std::vector<std::string> homed_names(membership_state const& state)
{
    std::vector<std::string> names;
    for (homed_server_state const& homed : state.homed_servers)
        names.push_back(homed.details.server);
    return names;
}

} // namespace

TEST_CASE("delayed announcements are acknowledged and change nothing")
{
    // Guards against an announcement that a partition delays until its sender
    // has left, drained or been replaced.
    using names = std::vector<std::string>;
    daemon_fixture daemon;
    int acknowledged = 0;
    auto const announce = [&](announcement const& details)
    {
        on_announce_request(daemon.state,
                            {details, [&](duration) { ++acknowledged; }},
                            daemon.now, daemon.out);
        daemon.store_withdrawals();
        for (auto const& reply : std::exchange(daemon.out.replies, {}))
            reply();
    };
    announce(server_at("a", 100, 5));
    announce(server_at("a", 100, 6, server_state::draining));
    announce(server_at("a", 100, 4));
    CHECK(daemon.state.homed_servers[0].details.state ==
          server_state::draining);
    announce(server_at("b", 200, 1));
    CHECK(homed_names(daemon.state) == names{"b"});
    announce(server_at("a", 100, 7));
    CHECK(homed_names(daemon.state) == names{"b"});
    announce(server_at("b", 200, 2, server_state::gone));
    announce(server_at("b", 200, 1));
    CHECK(homed_names(daemon.state).empty());
    announce(server_at("b", 201, 1));
    CHECK(homed_names(daemon.state) == names{"b"});
    announce(server_at("b", 200, 9, server_state::gone));
    CHECK(homed_names(daemon.state) == names{"b"});
    CHECK(acknowledged == 9);
}

TEST_CASE("an ack for a ping of an earlier run of the daemon confirms nobody")
{
    static constexpr daemon_ref third_daemon{3, 1};
    auto const first_ping = [](daemon_ref self, std::uint64_t seed)
    {
        membership_state state =
            make_state(record_of(self), {}, seed, start_time);
        packet hello = make_packet(state, packet_kind::ack, 0);
        hello.sender = third_daemon;
        hello.sender_address = record_of(third_daemon).address;
        hello.peers = {record_of(third_daemon)};
        actions out;
        on_packet(state, hello, start_time, out);
        out = {};
        for (time_point now = start_time;
             state.probes.empty() && now < start_time + seconds(2);
             now += duration(50'000))
            on_tick(state, now, out);
        return std::pair(state, state.probes.at(0).number);
    };
    auto const earlier = first_ping({1, 5}, 5);
    auto later = first_ping({1, 6}, 6).first;
    packet late;
    late.kind = packet_kind::ack;
    late.number = earlier.second;
    late.sender = other_daemon;
    late.sender_address = record_of(other_daemon).address;
    late.peers = {record_of(other_daemon), record_of(third_daemon)};
    actions out;
    on_packet(later, late, start_time + seconds(2), out);
    CHECK(later.probes.size() == 1);
}

TEST_CASE("a daemon without peers joins as soon as the rows are read")
{
    // Guards against a restart of the whole fleet that takes a second longer:
    // the first attempt to join is made before the rows are read and has no
    // address, and the next attempt is due only a second later.
    membership_state state =
        make_state(record_of(own_daemon), {}, 1, start_time);
    actions out;
    time_point now = start_time;
    auto const has_scan = [&]
    {
        return std::ranges::count(out.store_requests, scan_rendezvous_number,
                                  &store::request::number) == 1;
    };
    for (; !has_scan() && now < start_time + seconds(2);
         now += duration(50'000))
        on_tick(state, now, out);
    REQUIRE(has_scan());
    store::reply rows;
    rows.number = scan_rendezvous_number;
    rows.result = store::status::ok;
    rows.rows.push_back({"rendezvous/03", 7, record_of(other_daemon).address});
    now += duration(50'000);
    on_store_reply(state, rows, now, out);
    out = {};
    on_tick(state, now, out);
    auto const joins = std::ranges::count_if(
        out.to_peers,
        [](peer::outgoing const& sent)
        {
            return std::holds_alternative<members::sync>(sent.content) &&
                   sent.address == record_of(other_daemon).address;
        });
    CHECK(joins == 1);
}

TEST_CASE("a server that leaves by its answers is published as draining")
{
    daemon_fixture daemon;
    daemon.announce();
    server_load load{"server-1", 0, 0, true,
                     daemon.state.homed_servers.front().details.incarnation};
    on_server_load(daemon.state, load, daemon.now, daemon.out);
    CHECK(daemon.entry().state == server_state::draining);
    CHECK(daemon.out.homed_changes.back().details.state ==
          server_state::draining);
    // Its announcements may still say that it serves.
    daemon.announce();
    CHECK(daemon.entry().state == server_state::draining);
    announcement next_start = daemon.state.homed_servers.front().details;
    next_start.state = server_state::serving;
    ++next_start.incarnation;
    on_announce_request(daemon.state, {next_start, {}}, daemon.now, daemon.out);
    CHECK(daemon.entry().state == server_state::serving);
    // A late report is about the earlier start.
    on_server_load(daemon.state, load, daemon.now, daemon.out);
    CHECK(daemon.entry().state == server_state::serving);
}

TEST_CASE("a server that leaves and drains keeps its lease")
{
    // Guards against a home that removes a server while it still runs requests:
    // the announcements after the one that drains were taken for late ones.
    daemon_fixture daemon;
    announcement details;
    details.server = "server-1";
    details.service = "orders";
    details.address = "127.0.0.1:9";
    details.incarnation = 7;
    details.lease = seconds(6);
    for (details.sequence = 1; details.sequence < 10; ++details.sequence)
    {
        if (details.sequence == 2)
            on_server_load(daemon.state, {"server-1", 0, 0, true, 7},
                           daemon.now, daemon.out);
        if (details.sequence == 3)
            details.state = server_state::draining;
        on_announce_request(daemon.state, {details, {}}, daemon.now,
                            daemon.out);
        daemon.wait(seconds(2));
    }
    CHECK(daemon.state.homed_servers.size() == 1);
}

TEST_CASE("a late announcement does not undo a departure told to a new home")
{
    // Guards against requests to a server whose home restarted before it
    // departed: the departure names no incarnation, and the new run of the home
    // knows none.
    daemon_fixture daemon;
    announcement details;
    details.server = "server-1";
    details.service = "orders";
    details.address = "127.0.0.1:9";
    details.state = server_state::gone;
    on_announce_request(daemon.state, {details, {}}, daemon.now, daemon.out);
    details.state = server_state::serving;
    details.incarnation = 7;
    details.sequence = 40;
    daemon.now += seconds(2);
    on_announce_request(daemon.state, {details, {}}, daemon.now, daemon.out);
    CHECK(daemon.state.homed_servers.empty());
    // The next start under the same name numbers its announcements anew.
    details.incarnation = 8;
    details.sequence = 1;
    on_announce_request(daemon.state, {details, {}}, daemon.now, daemon.out);
    CHECK(daemon.state.homed_servers.size() == 1);
}

TEST_CASE("a rendezvous row that a restored store lost is written again")
{
    // Guards against daemons that cannot find each other after a restart,
    // because the rows are checked only every 5 min by a few daemons.
    daemon_fixture fixture;
    fixture.state.has_rendezvous_row = true;
    fixture.state.rendezvous_era = {1, true};
    fixture.state.next_rendezvous = fixture.now + seconds(300);
    on_active_config_version(fixture.state, {7, 2}, fixture.now, fixture.out);
    fixture.out = {};
    for (int step = 0; step < 60 && fixture.out.store_requests.empty(); ++step)
    {
        fixture.now += duration(50'000);
        on_tick(fixture.state, fixture.now, fixture.out);
    }
    REQUIRE(fixture.out.store_requests.size() == 1);
    store::reply rows;
    rows.number = fixture.out.store_requests[0].number;
    rows.result = store::status::ok;
    rows.era = 2;
    fixture.out = {};
    on_store_reply(fixture.state, rows, fixture.now, fixture.out);
    REQUIRE(fixture.out.store_requests.size() == 1);
    auto const* write =
        std::get_if<store::transaction>(&fixture.out.store_requests[0].op);
    REQUIRE(write != nullptr);
    CHECK(write->puts.at(0).value == record_of(own_daemon).address);
}
