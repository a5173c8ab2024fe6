#include "entitlement.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::account_limit
{

namespace
{

/// Stamps count from the start of the run, because a clock value has no meaning
/// for other processes.
std::uint64_t stamp_at(limit_state const& state, time_point now)
{
    return static_cast<std::uint64_t>((now - state.started).count()) + 1;
}

/// When the lease of a report ends. It counts from the grant whose stamp the
/// report returns. The sender counts from the later time when it sent the
/// report, so it never takes an entitlement back before this end, however late
/// the report arrives.
time_point lease_end(limit_state const& state, report const& received,
                     time_point now)
{
    if (received.stamp == 0 || received.stamp > stamp_at(state, now))
        return now;
    duration const granted =
        std::clamp(received.lease, duration(0), max_lease_time);
    return state.started + duration(received.stamp - 1) + granted -
           lease_margin;
}

bool is_new(limit_state& state, report const& received)
{
    report_position& last = state.positions[received.sender.id];
    if (received.sender.incarnation < last.incarnation ||
        (received.sender.incarnation == last.incarnation &&
         received.number <= last.number))
        return false;
    last = {received.sender.incarnation, received.number};
    return true;
}

void apply_lease(owned_group& group, report const& received, time_point end,
                 time_point now)
{
    if (received.is_released)
        end_lease(group, received.sender.id, now);
    else if (received.lease.count() > 0 && end > now)
        set_lease(group, received.sender.id,
                  {std::max(1U, received.entitled), end}, now);
}

grant_entry answer(limit_state& state, report_entry const& entry,
                   time_point gathering_until, time_point now)
{
    grant_entry out;
    out.account = entry.account;
    out.tokens = take_tokens(state, entry.account, entry.rate, entry.burst,
                             entry.wanted, now);
    if (out.tokens < entry.wanted && now >= gathering_until)
        out.retry_after = time_to_token(state, entry.account);
    return out;
}

} // namespace

void on_report(limit_state& state, report const& received, time_point now,
               actions& out)
{
    if (received.owner != state.own_daemon || received.group >= group_count ||
        !is_new(state, received))
        return;
    note_entitled(state, received.entitled, now);
    grant reply{state.own_daemon,
                state.own_address,
                received.sender,
                received.number,
                stamp_at(state, now),
                static_cast<std::uint32_t>(count_entitled(state, now)),
                {}};
    owned_group& group = state.owned_groups[received.group];
    apply_lease(group, received, lease_end(state, received, now), now);
    bool const has_lease = group.leases.contains(received.sender.id);
    for (report_entry const& entry : received.entries)
    {
        if (group_of(entry.account) != received.group)
            continue;
        // Only a daemon that delegates its part may fill the bucket.
        if (has_lease && entry.returned > 0)
            fill_owned(state, entry.account, entry.rate, entry.burst, now)
                .tokens += entry.returned;
        if (entry.wanted > 0)
            reply.entries.push_back(
                answer(state, entry, group.gathering_until, now));
    }
    out.messages.push_back({received.sender_address, std::move(reply)});
}

} // namespace gooseberrycove::account_limit
