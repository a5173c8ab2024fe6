#include "members/probe.hpp"

#include "members/gossip.hpp"
#include "members/peers.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

constexpr int indirect_probes = 3;
constexpr int news_receivers = 2;

void start_probe(state& s, member const& who, time_point now, actions& out)
{
    std::uint64_t const number = s.next_number++;
    s.probes.push_back(
        {number, who.record.daemon, who.record.address, now, false});
    send_packet(s, make_packet(s, packet_kind::ping, number),
                who.record.address, who.record.daemon.id, out);
}

/// Goes through all peers in a random order before any is probed again, so
/// that the time to the next probe of a peer is bounded.
member const* next_target(state& s)
{
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        while (!s.probe_order.empty())
        {
            member const* const who = find_peer(s, s.probe_order.back());
            s.probe_order.pop_back();
            if (who != nullptr && is_live(who->record))
                return who;
        }
        for (member const& who : s.peers)
            s.probe_order.push_back(who.record.daemon.id);
        std::ranges::shuffle(s.probe_order, s.random);
    }
    return nullptr;
}

void send_indirect(state& s, probe& pending, actions& out)
{
    pending.indirect_sent = true;
    member* const target = find_peer(s, pending.target.id);
    if (target == nullptr || target->record.state == peer_state::dead)
        return;
    if (target->unanswered < 2 && ++target->unanswered == 2)
        s.sweep_wanted = true;
    if (std::ranges::find(s.recheck, pending.target.id) == s.recheck.end())
        s.recheck.push_back(pending.target.id);
    for (int count = 0; count < indirect_probes; ++count)
    {
        member const* const helper = random_live(s);
        if (helper == nullptr || helper->record.daemon == pending.target)
            continue;
        packet request =
            make_packet(s, packet_kind::ping_request, pending.number);
        request.probe_address = pending.address;
        send_packet(s, std::move(request), helper->record.address,
                    helper->record.daemon.id, out);
    }
}

void judge(state& s, probe const& pending, time_point now, actions& out)
{
    member* const target = find_peer(s, pending.target.id);
    if (target == nullptr || target->record.daemon != pending.target ||
        target->record.state != peer_state::alive ||
        target->heard > pending.sent)
        return;
    set_peer_state(s, *target, peer_state::suspect, now, out);
    // Tells the suspect at once; a one-way cut may still let this through.
    send_packet(s, make_packet(s, packet_kind::ping, s.next_number++),
                pending.address, pending.target.id, out);
}

void check_probes(state& s, time_point now, actions& out)
{
    std::vector<probe> waiting;
    std::vector<probe> const all = std::move(s.probes);
    for (probe pending : all)
    {
        if (now - pending.sent >= s.limits.probe_timeout)
        {
            judge(s, pending, now, out);
            continue;
        }
        if (!pending.indirect_sent &&
            now - pending.sent >= s.limits.ping_timeout)
            send_indirect(s, pending, out);
        waiting.push_back(pending);
    }
    s.probes = std::move(waiting);
    std::erase_if(s.relays, [&](relay const& kept)
                  { return now - kept.sent > s.limits.probe_timeout; });
}

void probe_dead(state& s, time_point now, actions& out)
{
    s.next_dead_probe = now + s.limits.dead_probe_period;
    std::vector<member const*> dead;
    for (member const& who : s.peers)
    {
        if (who.record.state == peer_state::dead)
            dead.push_back(&who);
    }
    if (!dead.empty())
        start_probe(s, *dead[s.random() % dead.size()], now, out);
}

void probe_again(state& s, time_point now, actions& out)
{
    s.next_recheck = now + s.limits.recheck_period;
    if (s.recheck.empty())
        return;
    member const* const who = find_peer(s, s.recheck.front());
    s.recheck.erase(s.recheck.begin());
    if (who != nullptr)
        start_probe(s, *who, now, out);
}

/// Stretches the period while gossip is above its budget.
duration ping_period(state const& s)
{
    double const rate = s.gossip_bytes / 10;
    double const factor = std::clamp(rate / s.limits.gossip_budget, 1.0, 4.0);
    return duration(static_cast<duration::rep>(
        factor * static_cast<double>(s.limits.ping_period.count())));
}

/// News that was never sent yet does not wait for the next probe: a change of
/// home would otherwise reach some daemons only after several seconds. Uses at
/// most half of the gossip budget.
void spread_news(state& s, time_point now, actions& out)
{
    if (now < s.next_news || s.gossip_bytes / 10 > s.limits.gossip_budget / 2)
        return;
    if (std::ranges::none_of(s.updates, [](update const& pending)
                             { return pending.sent == 0; }))
        return;
    s.next_news = now + s.limits.news_period;
    for (int count = 0; count < news_receivers; ++count)
    {
        member const* const who = random_live(s);
        if (who == nullptr)
            return;
        send_packet(s, make_packet(s, packet_kind::ping, s.next_number++),
                    who->record.address, who->record.daemon.id, out);
    }
}

/// Whether the ack comes from the probed run of the daemon. At the address of
/// a replaced machine another daemon may answer. The first record of an ack is
/// its sender's own; a relay puts the record of the daemon that answered
/// behind its own. Further records are gossip and prove nothing.
bool proves(packet const& what, probe const& pending)
{
    std::size_t const own = what.sender_address == pending.address ? 0 : 1;
    return what.peers.size() > own && what.peers[own].daemon == pending.target;
}

} // namespace

void on_ping(state& s, packet const& what, time_point, actions& out)
{
    send_packet(s, make_packet(s, packet_kind::ack, what.number),
                what.sender_address, what.sender.id, out);
}

void on_ping_request(state& s, packet const& what, time_point now, actions& out)
{
    std::uint64_t const number = s.next_number++;
    s.relays.push_back({number, what.number, what.sender_address, now});
    send_packet(s, make_packet(s, packet_kind::ping, number),
                what.probe_address, 0, out);
}

void on_ack(state& s, packet const& what, time_point now, actions& out)
{
    for (relay const& kept : s.relays)
    {
        if (kept.number != what.number || what.peers.empty())
            continue;
        packet answer = make_packet(s, packet_kind::ack, kept.original);
        answer.peers.push_back(what.peers.front());
        send_packet(s, std::move(answer), kept.requester, 0, out);
        return;
    }
    auto const found = std::ranges::find(s.probes, what.number, &probe::number);
    if (found == s.probes.end() || !proves(what, *found))
        return;
    member* const target = find_peer(s, found->target.id);
    bool const direct = what.sender == found->target;
    daemon_ref const who = found->target;
    if (target != nullptr && direct && target->unanswered != 0)
    {
        target->unanswered = 0;
        s.sweep_wanted = true;
    }
    s.probes.erase(found);
    confirm_alive(s, who, now, out);
}

void run_probes(state& s, time_point now, actions& out)
{
    check_probes(s, now, out);
    if (now >= s.next_ping)
    {
        s.next_ping = now + ping_period(s);
        if (member const* const who = next_target(s))
            start_probe(s, *who, now, out);
    }
    spread_news(s, now, out);
    if (now >= s.next_dead_probe)
        probe_dead(s, now, out);
    if (now >= s.next_recheck)
        probe_again(s, now, out);
}

} // namespace gooseberrycove::members
