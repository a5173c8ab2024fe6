#include "members/directory.hpp"
#include "members/gossip.hpp"
#include "members/state.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <set>

using namespace gooseberrycove;
using namespace gooseberrycove::members;

namespace
{

constexpr time_point start{duration(1'000'000'000)};
constexpr daemon_ref here{1, 5};
constexpr daemon_ref other{2, 3};

duration seconds(int value)
{
    return duration(value * 1'000'000);
}

peer_record record_of(daemon_ref who)
{
    peer_record record;
    record.daemon = who;
    record.name = fmt::format("daemon-{}", who.id);
    record.data_centre = "dc0";
    record.address = fmt::format("127.0.0.1:{}", 1000 + who.id);
    record.admin_address = fmt::format("127.0.0.1:{}", 3000 + who.id);
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

/// A daemon that knows one peer.
struct bench
{
    state s = make_state(record_of(here), {}, 1, start);
    time_point now = start;
    actions out;

    bench() { receive(other); }

    packet packet_from(daemon_ref sender)
    {
        packet what;
        what.kind = packet_kind::ack;
        what.sender = sender;
        what.sender_address = record_of(sender).address;
        what.peers.push_back(record_of(sender));
        return what;
    }

    void receive(daemon_ref sender)
    {
        on_packet(s, packet_from(sender), now, out);
    }

    void receive(server_record const& record)
    {
        packet what = packet_from(other);
        what.servers.push_back(record);
        on_packet(s, what, now, out);
    }

    void announce(server_state value = server_state::serving)
    {
        announcement what;
        what.server = "server-1";
        what.service = "orders";
        what.address = "127.0.0.2:80";
        what.slots = 4;
        what.state = value;
        what.lease = seconds(6);
        on_announced(s, {what, {}}, now, out);
    }

    void wait(duration time)
    {
        for (; time > duration(0); time -= duration(50'000))
        {
            now += duration(50'000);
            on_tick(s, now, out);
        }
    }

    server_entry entry() { return *find_entry(s, "server-1"); }
};

} // namespace

TEST_CASE("of two directory records the one written last wins")
{
    struct order_case
    {
        server_record old;
        server_record fresh;
        bool wins;
    };
    daemon_ref const restarted{2, 4};
    daemon_ref const third{3, 1};
    order_case const cases[] = {
        {server_of(other, 5), server_of(other, 6), true},
        {server_of(other, 5), server_of(other, 5), false},
        {server_of(other, 5), server_of(other, 4), false},
        {server_of(other, 5), server_of(restarted, 1), true},
        {server_of(restarted, 1), server_of(other, 5), false},
        {server_of(other, 5), server_of(third, 6), true},
        {server_of(other, 5), server_of(third, 4), false},
        {server_of(other, 5, server_state::gone), server_of(other, 4), false},
    };
    for (order_case const& one : cases)
    {
        bench b;
        b.receive(one.old);
        b.receive(one.fresh);
        CHECK((b.entry().home == one.fresh.home &&
               b.entry().sequence == one.fresh.sequence) ==
              (one.wins || (one.old.home == one.fresh.home &&
                            one.old.sequence == one.fresh.sequence)));
    }
}

TEST_CASE("a lease is renewed, lapses, and is given again after a pause")
{
    bench b;
    b.announce();
    b.wait(seconds(4));
    b.announce();
    b.wait(seconds(4));
    CHECK(b.entry().state == server_state::serving);
    // The process was paused for 60 s; announcements wait in the sockets.
    b.now += seconds(60);
    on_tick(b.s, b.now, b.out);
    CHECK(b.entry().state == server_state::serving);
    b.wait(seconds(7));
    CHECK(b.entry().state == server_state::gone);
    CHECK(b.out.homed.back().gone);
    CHECK(b.out.known.back().gone);
}

TEST_CASE("the operator's drain survives renewals and a lapsed lease")
{
    bench b;
    b.announce();
    on_drain_request(b.s, {"server-1", true, {}}, b.now, b.out);
    b.announce();
    CHECK(b.entry().state == server_state::draining);
    CHECK(b.out.homed.back().what.state == server_state::draining);
    b.wait(seconds(7));
    CHECK(b.entry().state == server_state::gone);
    b.announce();
    CHECK(b.entry().state == server_state::draining);
    on_drain_request(b.s, {"server-1", false, {}}, b.now, b.out);
    CHECK(b.entry().state == server_state::serving);
    b.announce(server_state::draining);
    CHECK(b.entry().state == server_state::draining);
}

TEST_CASE("the operator's drain goes with the server to another home")
{
    // Guards against work for a drained server after its home has died.
    server_record drained = server_of(other, 7, server_state::draining);
    drained.drains = 1;
    bench knew;
    knew.receive(drained);
    knew.announce();
    CHECK(knew.entry().state == server_state::draining);
    CHECK(knew.out.homed.back().what.state == server_state::draining);

    // The new home hears of the drain only after the announcement, also when
    // it is the former home after a restart.
    for (daemon_ref const former : {other, daemon_ref{here.id, 4}})
    {
        bench late;
        late.announce();
        drained.home = former;
        drained.sequence = late.entry().sequence - 1;
        late.receive(drained);
        CHECK(late.entry().state == server_state::draining);
        on_drain_request(late.s, {"server-1", false, {}}, late.now, late.out);
        late.receive(drained);
        CHECK(late.entry().state == server_state::serving);
        CHECK(make_record(late.s, 0).drains == 2);
    }

    // Guards against a drain that ends with a home that dies at once, and
    // against one that a loser's record brought and nobody spreads.
    bench home;
    home.announce();
    home.out = actions{};
    on_drain_request(home.s, {"server-1", true, {}}, home.now, home.out);
    auto const& told = std::get<packet>(home.out.to_peers.at(0).what);
    CHECK(told.servers.at(0).drains == 1);
    bench third;
    third.receive(server_of(other, 9));
    third.s.updates.clear();
    drained.home = other;
    drained.sequence = 7;
    third.receive(drained);
    CHECK(third.s.updates.size() == 1);
}

TEST_CASE("a server that moved is given up by its former home and not after "
          "a late record of the former home")
{
    bench b;
    b.announce();
    b.receive(server_of(other, b.entry().sequence + 1));
    CHECK(b.entry().home == other);
    CHECK(b.out.homed.back().gone);
    CHECK(b.s.homes.empty());
    b.announce();
    CHECK(b.entry().home == here);
    CHECK_FALSE(b.out.homed.back().gone);
    b.receive(server_of(other, b.entry().sequence - 1));
    CHECK(b.entry().home == here);
}

TEST_CASE("a daemon refutes what others say of it and drops a dead peer")
{
    bench b;
    packet what = b.packet_from(other);
    what.peers.push_back(b.s.self);
    what.peers.back().state = peer_state::dead;
    what.peers.back().refutation = 3;
    on_packet(b.s, what, b.now, b.out);
    CHECK(b.s.self.refutation == 4);
    b.receive(server_of(other, 1));
    b.wait(seconds(20));
    CHECK_FALSE(b.out.views.back()->candidates.at(0).home_alive);
    b.wait(seconds(40));
    CHECK(b.out.views.back()->candidates.empty());
    CHECK(b.out.daemons->daemons == std::vector<daemon_ref>{here});
    b.receive(other);
    b.wait(seconds(1));
    CHECK(b.out.daemons->daemons.size() == 2);
}

TEST_CASE("packets keep their size and updates are sent 3 log2(n) times")
{
    bench b;
    for (std::uint64_t id = 10; id < 100; ++id)
        b.receive({id, 1});
    std::size_t const count = send_count(b.s);
    CHECK(count == 20);
    b.announce();
    std::size_t sent = 0;
    std::size_t largest = 0;
    b.out = actions{};
    for (int packets = 0; packets < 2000; ++packets)
        send_packet(b.s, make_packet(b.s, packet_kind::ping, 1), "", 0, b.out);
    for (peer::outgoing const& message : b.out.to_peers)
    {
        auto const& what = std::get<packet>(message.what);
        std::size_t size = packet_overhead + what.sender_address.size();
        for (peer_record const& record : what.peers)
            size += estimate_size(record);
        for (server_record const& record : what.servers)
            size += estimate_size(record);
        largest = std::max(largest, size);
        sent += what.servers.size();
    }
    CHECK(sent == count);
    CHECK(largest <= 1200);
    CHECK(b.s.updates.empty());
}

TEST_CASE("an alarm asks the other homes for reports at once")
{
    bench b;
    b.announce();
    server_record elsewhere = server_of(other, 1);
    elsewhere.server = "server-2";
    b.receive(elsewhere);
    b.out = actions{};
    health::verdict alarm;
    alarm.status.server = "server-1";
    alarm.wants_reports = true;
    on_verdict(b.s, alarm, b.now, b.out);
    auto const& asked = std::get<packet>(b.out.to_peers.at(0).what);
    CHECK(asked.kind == packet_kind::status);
    CHECK(asked.number != 0);
    packet answer = b.packet_from(other);
    answer.kind = packet_kind::status;
    server_status report;
    report.server = "server-2";
    report.service = "orders";
    report.sequence = 1;
    answer.statuses.push_back(report);
    answer.number = 1;
    b.out = actions{};
    on_packet(b.s, answer, b.now, b.out);
    CHECK(b.out.siblings.size() == 1);
    CHECK(std::get<packet>(b.out.to_peers.at(0).what).statuses.size() == 1);
    on_packet(b.s, answer, b.now, b.out);
    CHECK(b.out.siblings.size() == 1);
}

TEST_CASE("the digest of a directory does not depend on the order of records")
{
    bench left;
    bench right;
    for (int number = 0; number < 200; ++number)
    {
        server_record record = server_of(other, 1 + number);
        record.server = fmt::format("server-{}", number % 50);
        left.receive(record);
        if (number >= 150)
            right.receive(record);
    }
    CHECK(left.s.listed.total == right.s.listed.total);
    CHECK(left.s.listed.buckets == right.s.listed.buckets);
    right.receive(server_of(other, 1000));
    CHECK(left.s.listed.total != right.s.listed.total);
}
