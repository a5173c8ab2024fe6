#include "members/directory.hpp"
#include "members/lease.hpp"
#include "members/peers.hpp"
#include "members/probe.hpp"
#include "members/status.hpp"
#include "members/sync.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::members
{

namespace
{

/// Timers are judged this often, whatever messages arrive.
constexpr duration tick_period{50'000};
constexpr duration sweep_period{2'000'000};
/// Time constant of the gossip byte count.
constexpr double decay_us = 10'000'000;

/// After a pause this daemon knows nothing of the time in between: it gives
/// suspects and leases their time again instead of judging them.
void forgive(state& s, duration gap, time_point now)
{
    s.probes.clear();
    for (member& who : s.peers)
    {
        if (who.record.state == peer_state::suspect)
            who.since = now;
    }
    for (homed& here : s.homes)
        here.lease_until += gap;
    hasten_sync(s, now);
}

/// A sweep passes over all entries, so the sweeps that liveness changes ask
/// for are spaced by the number of entries: 0.4 s at 70,000.
void run_sweep(state& s, time_point now)
{
    duration const spacing(50'000 + 5 * static_cast<int>(s.servers.used));
    bool const wanted = s.sweep_wanted && now >= s.last_sweep + spacing;
    if (!wanted && now < s.last_sweep + sweep_period)
        return;
    sweep(s, now);
    s.sweep_wanted = false;
    s.last_sweep = now;
}

} // namespace

time_point on_tick(state& s, time_point now, actions& out)
{
    duration const gap = now - s.last_tick;
    if (gap >= tick_period)
    {
        if (gap > s.limits.pause_gap)
            forgive(s, gap, now);
        s.last_tick = now;
        s.gossip_bytes *=
            std::exp(-static_cast<double>(gap.count()) / decay_us);
        run_probes(s, now, out);
        expire_peers(s, now, out);
        expire_leases(s, now, out);
        run_sync(s, now, out);
        run_rendezvous(s, now, out);
        run_sweep(s, now);
        flush_live(s, now, out);
    }
    run_statuses(s, now, out);
    flush_views(s, now, out);
    return s.last_tick + tick_period;
}

} // namespace gooseberrycove::members
