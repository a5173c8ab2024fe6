#include "members/directory.hpp"
#include "members/held_announcements.hpp"
#include "members/lease.hpp"
#include "members/peers.hpp"
#include "members/probe.hpp"
#include "members/row_cleanup.hpp"
#include "members/status.hpp"
#include "members/stored_withdrawals.hpp"
#include "members/sync.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::members
{

namespace
{

/// Minimum time between two runs of the timers, whatever messages arrive.
constexpr duration tick_period{50'000};
constexpr duration sweep_period{2'000'000};
/// Time constant of the gossip byte count, in microseconds.
constexpr double gossip_decay_us = 10'000'000;

/// Restarts the suspicions and extends the leases after a pause of this
/// process: it received no messages meanwhile, so neither may expire because
/// of the pause.
void restart_timers_after_pause(membership_state& state, duration gap,
                                time_point now)
{
    state.probes.clear();
    for (member& peer : state.peers)
    {
        if (peer.record.state == peer_state::suspect)
            peer.state_since = now;
    }
    for (homed_server_state& homed : state.homed_servers)
        homed.lease_until += gap;
    schedule_early_sync(state, now);
}

/// A sweep visits all entries, so the minimum time between sweeps after
/// liveness changes grows with the number of entries: 0.4 s at 70,000.
void run_sweep(membership_state& state, time_point now)
{
    duration const spacing(50'000 +
                           5 * static_cast<int>(state.servers.used_entries));
    bool const is_requested =
        state.needs_sweep && now >= state.last_sweep + spacing;
    if (!is_requested && now < state.last_sweep + sweep_period)
        return;
    sweep(state, now);
    state.needs_sweep = false;
    state.last_sweep = now;
}

} // namespace

time_point on_tick(membership_state& state, time_point now, actions& out)
{
    duration const gap = now - state.last_tick;
    if (gap >= tick_period)
    {
        if (gap > state.parameters.pause_threshold)
            restart_timers_after_pause(state, gap, now);
        state.last_tick = now;
        state.recent_gossip_bytes *=
            std::exp(-static_cast<double>(gap.count()) / gossip_decay_us);
        run_probes(state, now, out);
        expire_peers(state, now, out);
        expire_leases(state, now, out);
        run_sync(state, now, out);
        run_rendezvous(state, now, out);
        run_row_cleanup(state, now, out);
        release_announcements(state, now, out);
        run_sweep(state, now);
        flush_live_daemons(state, now, out);
    }
    run_stored_withdrawals(state, now, out);
    send_due_statuses(state, now, out);
    flush_views(state, now, out);
    return state.last_tick + tick_period;
}

} // namespace gooseberrycove::members
