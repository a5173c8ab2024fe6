#include "reports.hpp"

#include "entitlement.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrycove::account_limit
{

namespace
{

/// A report without answer for longer is forgotten.
constexpr duration max_answer_time = std::chrono::seconds(5);
/// Time for which a daemon that did not answer is not taken for an owner.
constexpr duration avoid_time = std::chrono::seconds(10);
/// Tokens asked for are asked for again after this time.
constexpr duration asked_time = std::chrono::milliseconds(150);

/// A smaller stock is often not used in time: with single tokens in stock, 76
/// daemons with 2.4 requests a second each lost a quarter of the limit.
constexpr std::uint32_t min_stock = 3;

std::uint32_t count_stock(used_account const& used)
{
    std::uint32_t count = 0;
    for (stocked_tokens const& item : used.stock)
        count += item.count;
    return count;
}

std::uint32_t tokens_wanted(used_account const& used, time_point now)
{
    double const demand = now - used.last_request < std::chrono::seconds(1)
                              ? std::max(used.demand, used.last_demand)
                              : 0;
    auto target = static_cast<std::uint32_t>(
        std::min(demand, used.rate) *
        std::chrono::duration<double>(stock_target).count());
    if (target < min_stock)
        target = 0;
    std::uint32_t const needed =
        static_cast<std::uint32_t>(used.waiting.size()) + target;
    std::uint32_t const expected =
        count_stock(used) + (now - used.asked_at < asked_time ? used.asked : 0);
    return needed > expected ? needed - expected : 0;
}

/// Parts of a lease after which it is renewed, so that a lost report or answer
/// does not end it.
constexpr int renewals_per_lease = 3;

bool may_delegate(limit_state const& state, delegation const& given,
                  owner_link const& link, time_point now)
{
    if (now < entitled_from(state, now) || link.stamp == 0 ||
        given.owner != link.owner)
        return false;
    // A later run of the holder has lost the leases of the earlier one.
    return now >= given.until || given.holder.id == link.owner.id;
}

void log_owner_change(delegation const& given, std::uint32_t group,
                      actions& out)
{
    event_line line(event::account_owner_changed);
    line.field("group", std::uint64_t{group}).field("owner", given.owner.id);
    out.log.push_back(std::move(line));
}

owner_link& link_to(limit_state& state, daemon_ref owner)
{
    owner_link& link = state.links[owner.id];
    if (link.owner != owner)
    {
        link = {};
        link.owner = owner;
    }
    return link;
}

/// What the accounts of one group need from its owner.
struct group_needs
{
    bool has_waiting = false;
    std::vector<report_entry> entries;
};

report_entry make_entry(std::uint64_t account, used_account const& used,
                        time_point now)
{
    report_entry entry;
    entry.account = account;
    entry.rate = used.rate;
    entry.burst = used.burst;
    entry.wanted = tokens_wanted(used, now);
    entry.returned = used.returned;
    return entry;
}

/// Serves waiting requests and collects what the accounts need.
std::array<group_needs, group_count> collect_needs(limit_state& state,
                                                   time_point now, actions& out)
{
    std::array<group_needs, group_count> needs;
    for (auto& [account, used] : state.used)
    {
        drop_old_stock(used, now);
        serve_waiting(state, account, used, now, out);
        group_needs& group = needs[group_of(account)];
        group.has_waiting = group.has_waiting || !used.waiting.empty();
        report_entry const entry = make_entry(account, used, now);
        if (entry.wanted > 0 || entry.returned > 0)
            group.entries.push_back(entry);
    }
    return needs;
}

void note_asked(used_account& used, std::uint32_t wanted, time_point now)
{
    used.returned = 0;
    if (wanted == 0)
        return;
    bool const adds = now - used.asked_at < asked_time;
    used.asked = wanted + (adds ? used.asked : 0);
    used.asked_at = now;
}

void send_report(limit_state& state, std::uint32_t group, group_needs&& needs,
                 owner_link& link, time_point now, actions& out)
{
    delegation& given = state.delegations[group];
    report content;
    content.sender = state.own_daemon;
    content.sender_address = state.own_address;
    content.owner = link.owner;
    content.number = ++state.report_number;
    content.stamp = link.stamp;
    content.group = group;
    content.entitled = static_cast<std::uint32_t>(effective_count(state, now));
    duration const time = lease_time(state, now);
    if (may_delegate(state, given, link, now))
    {
        content.lease = time;
        given.holder = link.owner;
        given.until = now + time;
        given.uses_own = false;
    }
    else if (now >= given.until && now >= entitled_from(state, now))
        content.is_released = true;
    given.next_report = now + time / renewals_per_lease;
    for (report_entry const& entry : needs.entries)
        note_asked(state.used[entry.account], entry.wanted, now);
    content.entries = std::move(needs.entries);
    link.last_sent = now;
    while (!link.sent.empty() &&
           now - link.sent.front().sent_at > max_answer_time)
        link.sent.pop_front();
    link.sent.push_back({content.number, now});
    if (!link.unanswered_since)
        link.unanswered_since = now;
    auto const known = state.daemons.find(link.owner.id);
    if (known != state.daemons.end())
        out.messages.push_back({known->second.member.address, content});
}

/// When the next report of the group may be sent.
time_point report_time(delegation const& given, group_needs const& needs,
                       owner_link const& link)
{
    if (needs.entries.empty())
        return given.next_report;
    return std::min(given.next_report,
                    link.last_sent + (needs.has_waiting ? urgent_interval
                                                        : report_interval));
}

/// Reports the needs of a group to its owner when that is due. Returns the time
/// of the next call.
time_point serve_group(limit_state& state, std::uint32_t group,
                       group_needs&& needs, time_point now, actions& out)
{
    delegation& given = state.delegations[group];
    daemon_ref const target = report_target(state, group, now);
    if (target.id == state.own_daemon.id)
    {
        delegate_to_self(state, group, now);
        for (report_entry const& entry : needs.entries)
        {
            fill_owned(state, entry.account, entry.rate, entry.burst, now)
                .tokens += entry.returned;
            state.used[entry.account].returned = 0;
        }
        return now + (needs.has_waiting
                          ? urgent_interval
                          : lease_time(state, now) / renewals_per_lease);
    }
    owner_link& link = link_to(state, target);
    time_point due = report_time(given, needs, link);
    if (due <= now)
    {
        send_report(state, group, std::move(needs), link, now, out);
        due = given.next_report;
    }
    return std::max(due, now + std::chrono::milliseconds(5));
}

} // namespace

daemon_ref report_target(limit_state const& state, std::uint32_t group,
                         time_point now)
{
    delegation const& given = state.delegations[group];
    if (now >= given.until || given.holder.id == given.owner.id)
        return given.owner;
    auto const holder = state.daemons.find(given.holder.id);
    bool const is_live = holder != state.daemons.end() &&
                         holder->second.member.is_live &&
                         !state.avoided.contains(given.holder.id) &&
                         holder->second.member.daemon == given.holder;
    return is_live ? given.holder : given.owner;
}

bool is_silent(limit_state const& state, daemon_ref owner, time_point now)
{
    auto const found = state.links.find(owner.id);
    return found != state.links.end() && found->second.owner == owner &&
           found->second.unanswered_since &&
           now - *found->second.unanswered_since > owner_silence;
}

void drop_old_stock(used_account& used, time_point now)
{
    while (!used.stock.empty() && used.stock.front().until <= now)
        used.stock.pop_front();
}

std::optional<time_point> accept_grant(limit_state& state,
                                       grant const& received)
{
    if (received.receiver != state.own_daemon)
        return std::nullopt;
    owner_link& link = state.links[received.owner.id];
    if (received.owner.incarnation < link.owner.incarnation)
        return std::nullopt;
    if (link.owner != received.owner)
    {
        link = {};
        link.owner = received.owner;
    }
    bool const is_first = link.stamp == 0;
    link.stamp = std::max(link.stamp, received.stamp);
    // The first stamp permits to delegate.
    for (delegation& given : state.delegations)
    {
        if (is_first && given.owner == link.owner)
            given.next_report = time_point();
    }
    auto const sent =
        std::ranges::find(link.sent, received.number, &sent_report::number);
    if (sent == link.sent.end())
        return std::nullopt;
    time_point const sent_at = sent->sent_at;
    auto const later = link.sent.erase(sent);
    link.unanswered_since.reset();
    if (later != link.sent.end())
        link.unanswered_since = later->sent_at;
    return sent_at;
}

/// Avoids owners that do not answer. A suspect daemon counts as live for
/// seconds, in which its accounts would have no more than each daemon's part.
/// No report is sent to an avoided daemon, so none goes to a silent one.
void update_avoided(limit_state& state, time_point now)
{
    for (auto const& [id, link] : state.links)
    {
        if (state.avoided.contains(id) || !is_silent(state, link.owner, now))
            continue;
        state.avoided[id] = now + avoid_time;
        ++state.fleet_version;
    }
    auto const has_ended = [&](auto const& entry)
    {
        if (entry.second > now)
            return false;
        // The link starts anew, without the reports that had no answer.
        state.links.erase(entry.first);
        return true;
    };
    if (std::erase_if(state.avoided, has_ended) > 0)
        ++state.fleet_version;
}

time_point on_tick(limit_state& state, time_point now, actions& out)
{
    time_point next = now + std::chrono::seconds(1);
    if (!state.has_limits && state.used.empty())
        return next;
    update_avoided(state, now);
    for (std::uint32_t group = 0; group < group_count; ++group)
    {
        if (update_owner(state, group, now))
            log_owner_change(state.delegations[group], group, out);
    }
    auto needs = collect_needs(state, now, out);
    for (std::uint32_t group = 0; group < group_count; ++group)
        next = std::min(
            next, serve_group(state, group, std::move(needs[group]), now, out));
    return next;
}

} // namespace gooseberrycove::account_limit
