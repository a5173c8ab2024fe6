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
        std::clamp(received.lease, duration(0), lease_time);
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

void apply_lease(owned_account& owned, report const& received,
                 report_entry const& entry, time_point end, time_point now)
{
    if (entry.is_released)
    {
        owned.leases.erase(received.sender.id);
        return;
    }
    if (end <= now || entry.share_rate <= 0)
        return;
    owned.leases[received.sender.id] = {entry.share_rate,
                                        std::max(0.0, entry.share_burst), end};
}

grant_entry answer(owned_account& owned, report_entry const& entry,
                   time_point now)
{
    grant_entry out;
    out.account = entry.account;
    out.rate = owned.rate;
    out.burst = owned.burst;
    out.tokens = static_cast<std::uint32_t>(
        std::min<double>(entry.wanted, std::floor(owned.tokens.tokens)));
    owned.tokens.tokens -= out.tokens;
    if (out.tokens < entry.wanted && now >= owned.gathering_until)
        out.retry_after = time_to_token(owned);
    return out;
}

} // namespace

void on_report(limit_state& state, report const& received, time_point now,
               actions& out)
{
    if (received.owner != state.own_daemon || !is_new(state, received))
        return;
    grant reply{state.own_daemon,
                state.own_address,
                received.sender,
                received.number,
                stamp_at(state, now),
                0,
                {}};
    note_entitled(state, received.entitled, now);
    reply.entitled = static_cast<std::uint32_t>(count_entitled(state, now));
    time_point const end = lease_end(state, received, now);
    for (report_entry const& entry : received.entries)
    {
        owned_account& owned = state.owned[entry.account];
        fill_owned(owned, now);
        apply_lease(owned, received, entry, end, now);
        // The sender's bucket has filled again when its report is late.
        if (end > now)
            add_tokens(owned, std::max(0.0, entry.returned));
        if (entry.wanted == 0)
            continue;
        owned.rate = entry.rate;
        owned.burst = entry.burst;
        note_wanted(owned, now);
        reply.entries.push_back(answer(owned, entry, now));
    }
    out.messages.push_back({received.sender_address, std::move(reply)});
}

/// Tells all live daemons which accounts are in use, so that they delegate
/// their entitlements. Returns the time of the next notice.
time_point send_notices(limit_state& state, time_point now, actions& out)
{
    std::vector<grant_entry> due;
    time_point next = now + notice_interval;
    for (auto& [account, owned] : state.owned)
    {
        if (now - owned.last_wanted > use_time)
            continue;
        if (owned.next_notice <= now)
        {
            owned.next_notice = now + notice_interval;
            due.push_back({account, 0, duration(0), owned.rate, owned.burst});
        }
        next = std::min(next, owned.next_notice);
    }
    if (due.empty())
        return next;
    auto const entitled =
        static_cast<std::uint32_t>(count_entitled(state, now));
    for (auto const& [id, known] : state.daemons)
    {
        if (known.member.is_live)
            out.messages.push_back(
                {known.member.address,
                 grant{state.own_daemon, state.own_address, known.member.daemon,
                       0, stamp_at(state, now), entitled, due}});
    }
    return next;
}

} // namespace gooseberrycove::account_limit
