#include "members/directory.hpp"
#include "members/gossip.hpp"
#include "members/peers.hpp"
#include "members/state.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

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
               b.entry().sequence == one.fresh.sequence) == one.wins);
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
    CHECK(b.out.homed.back().is_gone);
}

TEST_CASE("the operator's drain survives renewals and a lapsed lease")
{
    bench b;
    b.announce();
    on_drain_request(b.s, {"server-1", true, {}}, b.now, b.out);
    b.announce();
    CHECK(b.entry().state == server_state::draining);
    CHECK(b.out.homed.back().details.state == server_state::draining);
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
    drained.drain_changes = 1;
    bench knew;
    knew.receive(drained);
    knew.announce();
    CHECK(knew.entry().state == server_state::draining);
    CHECK(knew.out.homed.back().details.state == server_state::draining);

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
        CHECK(make_record(late.s, 0).drain_changes == 2);
    }

    // Guards against a drain that ends with a home that dies at once, and
    // against one that a loser's record brought and nobody spreads.
    bench home;
    home.announce();
    home.out = actions{};
    on_drain_request(home.s, {"server-1", true, {}}, home.now, home.out);
    auto const& told = std::get<packet>(home.out.to_peers.at(0).content);
    CHECK(told.servers.at(0).drain_changes == 1);
    bench third;
    third.receive(server_of(other, 9));
    third.s.updates.clear();
    drained.home = other;
    drained.sequence = 7;
    third.receive(drained);
    CHECK(third.s.updates.size() == 1);
}

TEST_CASE("a server that moved is given up by its former home")
{
    bench b;
    b.announce();
    b.receive(server_of(other, b.entry().sequence + 1));
    CHECK(b.entry().home == other);
    CHECK(b.out.homed.back().is_gone);
    CHECK(b.s.homes.empty());
    b.announce();
    CHECK(b.entry().home == here);
    CHECK_FALSE(b.out.homed.back().is_gone);
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
        auto const& what = std::get<packet>(message.content);
        largest = std::max(largest, estimate_size(what));
        sent += what.servers.size();
    }
    CHECK(sent == count);
    CHECK(largest <= 1200);
    CHECK(b.s.updates.empty());
}

TEST_CASE("gossip in an ack of another daemon is no proof of life")
{
    // The successor at a replaced machine's address answers the probe and
    // tells about its predecessor; that brought the dead daemon back.
    bool const relayed = GENERATE(false, true);
    bench b;
    packet hello = b.packet_from(other);
    on_packet(b.s, hello, b.now, b.out);
    daemon_ref const gone = hello.sender;
    find_peer(b.s, gone.id)->record.state = peer_state::suspect;
    probe pending;
    pending.number = 900;
    pending.target = gone;
    pending.address = hello.sender_address;
    b.s.probes.push_back(pending);
    packet ack;
    ack.kind = packet_kind::ack;
    ack.number = 900;
    ack.sender = {777, 1};
    ack.sender_address = relayed ? "127.0.0.9:1" : hello.sender_address;
    peer_record successor;
    successor.daemon = {777, 1};
    successor.address = ack.sender_address;
    peer_record rumour;
    rumour.daemon = gone;
    rumour.address = hello.sender_address;
    rumour.state = peer_state::suspect;
    peer_record third;
    third.daemon = {778, 1};
    third.address = "127.0.0.8:1";
    ack.peers = {successor};
    if (relayed)
        ack.peers.push_back(third);
    ack.peers.push_back(rumour);
    on_packet(b.s, ack, b.now, b.out);
    CHECK(find_peer(b.s, gone.id)->record.state != peer_state::alive);
}

TEST_CASE("an alarm asks the other homes for reports at once")
{
    bench b;
    b.announce();
    server_record elsewhere = server_of(other, 1);
    elsewhere.server = "server-2";
    b.receive(elsewhere);
    b.out = actions{};
    health::status_update alarm;
    alarm.status.server = "server-1";
    alarm.requests_reports = true;
    on_verdict(b.s, alarm, b.now, b.out);
    auto const& asked = std::get<packet>(b.out.to_peers.at(0).content);
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
    // The answer holds the counts of now, not those of the last period.
    REQUIRE(b.out.report_requests.size() == 1);
    CHECK(b.out.to_peers.empty());
    health::status_update fresh;
    fresh.status.server = "server-1";
    fresh.status.samples = 7;
    fresh.is_reply = true;
    on_verdict(b.s, fresh, b.now, b.out);
    auto const& sent =
        std::get<packet>(b.out.to_peers.at(0).content).statuses.at(0);
    CHECK(sent.samples == 7);
    on_packet(b.s, answer, b.now, b.out);
    CHECK(b.out.siblings.size() == 1);
}

namespace
{

announcement server_at(std::string const& server, std::uint64_t incarnation,
                       std::uint64_t sequence,
                       server_state how = server_state::serving)
{
    announcement what;
    what.server = server;
    what.service = "orders";
    what.address = "127.0.0.1:9000";
    what.slots = 4;
    what.incarnation = incarnation;
    what.sequence = sequence;
    what.state = how;
    return what;
}

/// Names of the servers that are homed here.
std::vector<std::string> homed_names(state const& s)
{
    std::vector<std::string> names;
    for (homed const& one : s.homes)
        names.push_back(one.what.server);
    return names;
}

} // namespace

TEST_CASE("late announcements are acknowledged and change nothing")
{
    // Guards against a partition that holds an announcement up until its
    // sender has left, drained or been replaced.
    using names = std::vector<std::string>;
    bench b;
    int acknowledged = 0;
    auto const announce = [&](announcement const& what)
    {
        on_announced(b.s, {what, [&](duration) { ++acknowledged; }}, b.now,
                     b.out);
        for (auto const& reply : std::exchange(b.out.replies, {}))
            reply();
    };
    announce(server_at("a", 100, 5));
    announce(server_at("a", 100, 6, server_state::draining));
    announce(server_at("a", 100, 4));
    CHECK(b.s.homes[0].what.state == server_state::draining);
    announce(server_at("b", 200, 1));
    CHECK(homed_names(b.s) == names{"b"});
    announce(server_at("a", 100, 7));
    CHECK(homed_names(b.s) == names{"b"});
    announce(server_at("b", 200, 2, server_state::gone));
    announce(server_at("b", 200, 1));
    CHECK(homed_names(b.s).empty());
    announce(server_at("b", 201, 1));
    CHECK(homed_names(b.s) == names{"b"});
    announce(server_at("b", 200, 9, server_state::gone));
    CHECK(homed_names(b.s) == names{"b"});
    CHECK(acknowledged == 9);
}

TEST_CASE("a daemon without peers joins as soon as it has read the rows")
{
    // Guards against a fleet that restarts as a whole and refuses requests for
    // another second, because the first attempt to join had no address yet.
    state s = make_state(record_of(here), {}, 1, start);
    actions out;
    time_point now = start;
    for (; out.store.empty() && now < start + seconds(2);
         now += duration(50'000))
        on_tick(s, now, out);
    REQUIRE(out.store.size() == 1);
    store::reply rows;
    rows.number = out.store[0].number;
    rows.result = store::status::ok;
    rows.rows.push_back({"rendezvous/03", 7, record_of(other).address});
    now += duration(50'000);
    on_store_reply(s, rows, now, out);
    out = {};
    on_tick(s, now, out);
    auto const joins = std::ranges::count_if(
        out.to_peers,
        [](peer::outgoing const& item)
        {
            return std::holds_alternative<members::sync>(item.content) &&
                   item.address == record_of(other).address;
        });
    CHECK(joins == 1);
}
