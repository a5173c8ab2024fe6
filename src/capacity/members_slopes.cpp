#include "members/state.hpp"
#include "slope.hpp"
#include <gooseberrycove/wire.hpp>

#include <fmt/format.h>

namespace gooseberrycove::capacity
{

namespace
{

time_point const start{std::chrono::hours(1)};

members::peer_record peer_number(int number)
{
    members::peer_record made;
    made.name = fmt::format("daemon-{:05}", number);
    made.daemon = {hash_name(made.name), 1'790'000'000'000'000};
    made.data_centre = fmt::format("region-{}-dc-{}", number % 4, number % 14);
    made.address = fmt::format("10.{}.{}.{}:7300", number / 65'536,
                               number / 256 % 256, number % 256);
    made.admin_address = made.address;
    return made;
}

members::server_record server_number(int number, int daemons)
{
    members::server_record made;
    made.server = fmt::format("server-{:06}", number);
    made.service = fmt::format("service-{:04}", number % 2'700);
    made.slots = 4;
    made.home = peer_number(number % daemons).daemon;
    made.sequence = 1;
    return made;
}

members::sync make_sync(int daemons, int servers)
{
    members::sync made;
    made.sender = peer_number(0).daemon;
    made.sender_address = peer_number(0).address;
    for (int i = 0; i < daemons; ++i)
        made.peers.push_back(peer_number(i));
    for (int i = 0; i < servers; ++i)
        made.servers.push_back(server_number(i, std::max(daemons, 1)));
    return made;
}

struct fleet
{
    members::membership_state state;
    members::actions out;
};

fleet make_fleet(members::sync const& known)
{
    fleet made{members::make_state(peer_number(1'000'000), {}, 7, start), {}};
    members::on_sync(made.state, known, start, made.out);
    members::on_tick(made.state, start, made.out);
    made.out = {};
    return made;
}

double state_bytes(int daemons, int servers)
{
    members::sync const known = make_sync(daemons, servers);
    double const before = heap_bytes();
    fleet const made = make_fleet(known);
    return heap_bytes() - before;
}

members::packet ping(fleet& in, int number, int updates)
{
    members::packet made;
    made.kind = members::packet_kind::ping;
    made.number = static_cast<std::uint64_t>(number);
    made.sender = in.state.peers[number % in.state.peers.size()].record.daemon;
    made.sender_address = peer_number(number).address;
    for (int i = 0; i < updates; ++i)
    {
        made.servers.push_back(server_number(number * 8 + i, 6'000));
        made.servers.back().sequence = static_cast<std::uint64_t>(number) + 2;
    }
    return made;
}

double ping_us(int daemons, int servers, int updates)
{
    fleet made = make_fleet(make_sync(daemons, servers));
    return processor_us(5, 200,
                        [&](int i)
                        {
                            members::on_packet(
                                made.state, ping(made, i, updates),
                                start + duration(i * 1'000), made.out);
                            made.out = {};
                        });
}

double tick_us(int daemons, int servers)
{
    fleet made = make_fleet(make_sync(daemons, servers));
    time_point now = start;
    return processor_us(5, 50,
                        [&](int)
                        {
                            now += std::chrono::milliseconds(100);
                            members::on_tick(made.state, now, made.out);
                            made.out = {};
                        });
}

double frame_bytes(peer::payload const& what)
{
    return double(wire::encode("key", {1, 1}, what, start).size());
}

} // namespace

std::vector<slope> members_slopes()
{
    std::vector<point> peers;
    std::vector<point> servers;
    std::vector<point> pings;
    std::vector<point> updates;
    std::vector<point> ticks;
    for (int const size : {1'000, 3'000, 6'000})
    {
        peers.push_back({double(size), state_bytes(size, 0)});
        pings.push_back({double(size), ping_us(size, size * 12, 0)});
        ticks.push_back({double(size), tick_us(size, size * 12)});
    }
    for (int const size : {10'000, 35'000, 70'000})
        servers.push_back({double(size), state_bytes(6'000, size)});
    for (int const size : {0, 4, 8})
        updates.push_back({double(size), ping_us(6'000, 70'000, size)});

    std::vector<point> sync_bytes;
    std::vector<point> packet_bytes;
    for (int const size : {0, 100, 1'000})
        sync_bytes.push_back({double(size), frame_bytes(make_sync(0, size))});
    fleet some = make_fleet(make_sync(10, 10));
    for (int const size : {0, 4, 8})
        packet_bytes.push_back(
            {double(size), frame_bytes(ping(some, 1, size))});
    std::vector<point> status_bytes;
    for (int const size : {1, 4, 12})
    {
        members::packet made;
        made.kind = members::packet_kind::status;
        made.sender = peer_number(1).daemon;
        made.sender_address = peer_number(1).address;
        for (int i = 0; i < size; ++i)
        {
            server_status status;
            status.server = server_number(i, 10).server;
            status.service = server_number(i, 10).service;
            status.slots = 4;
            status.samples = 10.5;
            status.sequence = 100'000;
            made.statuses.push_back(status);
        }
        status_bytes.push_back({double(size), frame_bytes(made)});
    }
    return {
        fit("peer in the member list", "bytes", "daemon", peers),
        fit("backend server in the directory", "bytes", "server", servers),
        fit("processing a ping (12 servers per daemon)", "us", "daemon", pings),
        fit("processing a ping with directory changes", "us", "change",
            updates),
        fit("one tick of the duty", "us", "daemon", ticks),
        fit("synchronisation frame", "bytes", "server", sync_bytes),
        fit("ping datagram", "bytes", "change", packet_bytes),
        fit("status datagram", "bytes", "server", status_bytes)};
}

} // namespace gooseberrycove::capacity
