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
/// Tokens asked for are asked for again after this time.
constexpr duration asked_time = std::chrono::milliseconds(100);

/// A smaller stock is often not used in time: with single tokens in stock, 76
/// daemons with 2.4 requests a second each lost a quarter of the limit.
constexpr std::uint32_t min_stock = 3;

bool is_in_use(used_account const& used, time_point now)
{
    return now - used.last_used < use_time || !used.waiting.empty() ||
           used.returned > 0;
}

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

bool may_delegate(limit_state const& state, used_account const& used,
                  owner_link const& link, time_point now)
{
    if (now < entitled_from(state) || link.stamp == 0 ||
        used.owner != link.owner || is_silent(state, link.owner, now))
        return false;
    // A later run of the holder has lost the leases of the earlier one.
    return now >= used.lease_until || used.lease_holder.id == link.owner.id;
}

void delegate(limit_state& state, std::uint64_t account, used_account& used,
              owner_link const& link, report_entry& entry, time_point now)
{
    fill_own(state, account, used, now);
    entitlement const part = own_entitlement(state, account, used, now);
    entry.share_rate = part.rate;
    entry.share_burst = part.burst;
    entry.returned += used.own.tokens;
    used.lease_holder = link.owner;
    used.lease_until = now + lease_time;
    used.own = {0, used.lease_until};
    used.uses_own = false;
}

void log_own_use(used_account& used, actions& out)
{
    if (used.uses_own || used.name.empty())
        return;
    used.uses_own = true;
    event_line line(event::account_entitlement_used);
    line.field("account", used.name).field("rate", used.rate);
    out.log.push_back(std::move(line));
}

report_entry make_entry(limit_state& state, std::uint64_t account,
                        used_account& used, owner_link const& link,
                        time_point now, actions& out)
{
    report_entry entry;
    entry.account = account;
    entry.rate = used.rate;
    entry.burst = used.burst;
    entry.wanted = tokens_wanted(used, now);
    if (entry.wanted > 0)
    {
        bool const adds = now - used.asked_at < asked_time;
        used.asked = entry.wanted + (adds ? used.asked : 0);
        used.asked_at = now;
    }
    entry.returned = std::exchange(used.returned, 0);
    if (may_delegate(state, used, link, now))
    {
        delegate(state, account, used, link, entry, now);
    }
    else if (now >= used.lease_until && now >= entitled_from(state))
    {
        entry.is_released = true;
        if (is_silent(state, link.owner, now))
            log_own_use(used, out);
    }
    bool const has_demand = now - used.last_request < std::chrono::seconds(1);
    used.next_report = now + (has_demand ? report_interval : renewal_interval);
    if (!used.waiting.empty())
        used.next_report = now + urgent_interval;
    return entry;
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

/// When the next report to the owner may be sent.
time_point report_time(limit_state const& state, used_account const& used,
                       owner_link const& link, time_point now)
{
    duration interval =
        used.waiting.empty() ? report_interval : urgent_interval;
    if (is_silent(state, link.owner, now))
        interval = renewal_interval;
    return std::max(used.next_report, link.last_sent + interval);
}

report& report_for(limit_state& state, std::map<std::uint64_t, report>& reports,
                   owner_link const& link)
{
    report& out = reports[link.owner.id];
    out.sender = state.own_daemon;
    out.sender_address = state.own_address;
    out.owner = link.owner;
    out.stamp = link.stamp;
    out.lease = lease_time;
    return out;
}

/// Keeps the lease of an account that this daemon owns.
time_point serve_self(limit_state& state, std::uint64_t account,
                      used_account& used, time_point now)
{
    delegate_to_self(state, account, used, now);
    add_tokens(state.owned[account], std::exchange(used.returned, 0));
    return now + (used.waiting.empty() ? renewal_interval : urgent_interval);
}

void send_reports(limit_state& state, std::map<std::uint64_t, report>& reports,
                  time_point now, actions& out)
{
    if (reports.empty())
        return;
    auto const entitled =
        static_cast<std::uint32_t>(count_entitled(state, now));
    for (auto& [id, content] : reports)
    {
        owner_link& link = state.links[id];
        content.number = ++state.report_number;
        content.entitled = entitled;
        link.last_sent = now;
        while (!link.sent.empty() &&
               now - link.sent.front().sent_at > max_answer_time)
            link.sent.pop_front();
        link.sent.push_back({content.number, now});
        if (!link.unanswered_since)
            link.unanswered_since = now;
        auto const known = state.daemons.find(id);
        if (known != state.daemons.end())
            out.messages.push_back(
                {known->second.member.address, std::move(content)});
    }
}

} // namespace

daemon_ref report_target(limit_state const& state, used_account const& used,
                         time_point now)
{
    if (now >= used.lease_until || used.lease_holder.id == used.owner.id)
        return used.owner;
    auto const holder = state.daemons.find(used.lease_holder.id);
    bool const is_live = holder != state.daemons.end() &&
                         holder->second.member.is_live &&
                         holder->second.member.daemon == used.lease_holder;
    return is_live ? used.lease_holder : used.owner;
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
    link.stamp = std::max(link.stamp, received.stamp);
    if (received.number == 0)
        return time_point{};
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

void note_in_use(used_account& used, grant_entry const& entry, time_point now)
{
    bool const has_requests = now - used.last_request < use_time;
    used.last_used = now;
    if (has_requests)
        return;
    used.rate = entry.rate;
    used.burst = entry.burst;
    if (now >= used.lease_until)
        used.next_report = now;
}

void log_owner_change(used_account const& used, actions& out)
{
    event_line line(event::account_owner_changed);
    line.field("account", used.name).field("owner", used.owner.id);
    out.log.push_back(std::move(line));
}

time_point on_tick(limit_state& state, time_point now, actions& out)
{
    time_point next =
        std::min(send_notices(state, now, out), now + std::chrono::seconds(1));
    std::map<std::uint64_t, report> reports;
    for (auto& [account, used] : state.used)
    {
        if (!is_in_use(used, now))
            continue;
        if (update_owner(state, account, used, now) && !used.name.empty())
            log_owner_change(used, out);
        drop_old_stock(used, now);
        serve_waiting(state, account, used, now, out);
        daemon_ref const target = report_target(state, used, now);
        if (target.id == state.own_daemon.id)
        {
            next = std::min(next, serve_self(state, account, used, now));
            continue;
        }
        owner_link const& link = link_to(state, target);
        time_point const due = report_time(state, used, link, now);
        if (due <= now)
            report_for(state, reports, link)
                .entries.push_back(
                    make_entry(state, account, used, link, now, out));
        next =
            std::min(next, std::max(due, now + std::chrono::milliseconds(5)));
    }
    send_reports(state, reports, now, out);
    return next;
}

} // namespace gooseberrycove::account_limit
