#include "entitlement.hpp"
#include "reports.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::account_limit
{

namespace
{

/// A refusal is repeated without asking the owner for at most this long.
constexpr duration max_refusal_time = std::chrono::milliseconds(100);
constexpr duration refusal_line_interval = std::chrono::seconds(1);

void grant_request(used_account const& used, request_id id,
                   std::string_view outcome, actions& out)
{
    out.decisions.push_back({id, used.name, true, duration(0)});
    out.outcomes.push_back(outcome);
}

void refuse_request(used_account& used, request_id id, duration retry_after,
                    time_point now, actions& out)
{
    out.decisions.push_back(
        {id, used.name, false, std::max(retry_after, duration(1000))});
    out.outcomes.push_back("refused");
    if (now < used.next_refusal_line)
        return;
    used.next_refusal_line = now + refusal_line_interval;
    event_line line(event::account_limited);
    line.field("account", used.name)
        .field("rate", used.rate)
        .field("retry_after_ms",
               std::chrono::duration<double, std::milli>(retry_after).count());
    out.log.push_back(std::move(line));
}

bool take_stock(used_account& used, time_point now)
{
    drop_old_stock(used, now);
    if (used.stock.empty())
        return false;
    if (--used.stock.front().count == 0)
        used.stock.pop_front();
    return true;
}

bool take_owned(limit_state& state, std::uint64_t account,
                used_account const& used, time_point now)
{
    delegate_to_self(state, group_of(account), now);
    return take_tokens(state, account, used.rate, used.burst, 1, now) == 1;
}

bool take_own(limit_state& state, std::uint64_t account, used_account& used,
              time_point now)
{
    if (now < own_use_from(state, account, now))
        return false;
    fill_own(state, account, used, now);
    if (used.own.tokens < 1)
        return false;
    used.own.tokens -= 1;
    return true;
}

duration time_to_own_token(limit_state const& state, std::uint64_t account,
                           used_account const& used, time_point now)
{
    entitlement const part = own_entitlement(state, account, used, now);
    time_point const start =
        std::max(used.own.filled_at, own_use_from(state, account, now));
    double const missing = 1 - used.own.tokens;
    duration fill = std::chrono::seconds(1);
    if (part.burst >= 1 && missing < part.rate)
        fill = duration(static_cast<duration::rep>(
            std::ceil(missing / part.rate * 1'000'000)));
    return std::max(start - now, duration(0)) + fill;
}

void count_demand(used_account& used, time_point now)
{
    constexpr duration window = std::chrono::seconds(1);
    if (now - used.demand_since >= window)
    {
        bool const is_next = now - used.demand_since < 2 * window;
        used.last_demand = is_next ? used.demand : 0;
        used.demand = 0;
        used.demand_since = now;
    }
    ++used.demand;
}

void wait_for_token(used_account& used, request_id id, time_point now)
{
    used.waiting.push_back({id, now + max_wait});
}

/// Whether the owner may hold tokens within max_wait that it does not hold now:
/// others delegate theirs, or this daemon has not found the others yet.
bool may_get_tokens(limit_state const& state, std::uint64_t account,
                    time_point now)
{
    return state.daemons.empty()
               ? now < entitled_from(state, now)
               : now < state.owned_groups[group_of(account)].gathering_until;
}

void decide_as_owner(limit_state& state, std::uint64_t account,
                     used_account& used, request_id id, time_point now,
                     actions& out)
{
    if (take_owned(state, account, used, now))
    {
        grant_request(used, id, "owner", out);
        return;
    }
    if (may_get_tokens(state, account, now))
    {
        wait_for_token(used, id, now);
        return;
    }
    refuse_request(used, id,
                   std::max(time_to_token(state, account),
                            entitled_from(state, now) - now),
                   now, out);
}

/// Grants a request by this daemon's own entitlement, which is in use while no
/// lease of its group is open.
void grant_own(limit_state& state, std::uint64_t account,
               used_account const& used, request_id id, actions& out)
{
    grant_request(used, id, "own", out);
    std::uint32_t const group = group_of(account);
    delegation& given = state.delegations[group];
    if (given.uses_own)
        return;
    given.uses_own = true;
    event_line line(event::account_entitlement_used);
    line.field("group", std::uint64_t{group}).field("owner", given.owner.id);
    out.log.push_back(std::move(line));
}

/// Decides with what this daemon is entitled to, as the owner did not answer.
void decide_alone(limit_state& state, std::uint64_t account, used_account& used,
                  request_id id, time_point now, actions& out)
{
    if (take_own(state, account, used, now))
    {
        grant_own(state, account, used, id, out);
        return;
    }
    refuse_request(used, id, time_to_own_token(state, account, used, now), now,
                   out);
}

} // namespace

void on_token_request(limit_state& state, token_request const& request,
                      time_point now, actions& out)
{
    std::uint64_t const account = hash_name(request.account);
    used_account& used = state.used[account];
    used.name = request.account;
    used.rate = request.rate;
    used.burst = request.burst;
    used.last_request = now;
    count_demand(used, now);
    std::uint32_t const group = group_of(account);
    update_owner(state, group, now);
    if (take_stock(used, now))
    {
        grant_request(used, request.id, "stock", out);
        return;
    }
    daemon_ref const target = report_target(state, group, now);
    if (target.id == state.own_daemon.id)
    {
        decide_as_owner(state, account, used, request.id, now, out);
        return;
    }
    if (take_own(state, account, used, now))
    {
        grant_own(state, account, used, request.id, out);
        return;
    }
    if (now < used.refused_until)
    {
        refuse_request(used, request.id, used.refused_until - now, now, out);
        return;
    }
    if (is_silent(state, target, now))
        decide_alone(state, account, used, request.id, now, out);
    else
        wait_for_token(used, request.id, now);
}

void on_token_return(limit_state& state, token_return const& returned)
{
    auto const found = state.used.find(hash_name(returned.account));
    if (found == state.used.end())
        return;
    found->second.returned += 1;
}

void on_grant(limit_state& state, grant const& received, time_point now,
              actions& out)
{
    auto const sent_at = accept_grant(state, received);
    if (!sent_at)
        return;
    note_entitled(state, received.entitled, now);
    for (grant_entry const& entry : received.entries)
    {
        used_account& used = state.used[entry.account];
        used.asked = 0;
        if (entry.tokens > 0 && now < *sent_at + stock_time)
            used.stock.push_back({*sent_at + stock_time, entry.tokens});
        while (!used.waiting.empty() && take_stock(used, now))
        {
            grant_request(used, used.waiting.front().id, "granted", out);
            used.waiting.pop_front();
        }
        if (entry.retry_after.count() == 0)
            continue;
        used.refused_until =
            now + std::min(entry.retry_after, max_refusal_time);
        for (waiting_request const& waiting : used.waiting)
            refuse_request(used, waiting.id, entry.retry_after, now, out);
        used.waiting.clear();
    }
}

void serve_waiting(limit_state& state, std::uint64_t account,
                   used_account& used, time_point now, actions& out)
{
    if (used.waiting.empty())
        return;
    daemon_ref const target = report_target(state, group_of(account), now);
    bool const is_owner = target.id == state.own_daemon.id;
    while (!used.waiting.empty())
    {
        waiting_request const first = used.waiting.front();
        if (is_owner && take_owned(state, account, used, now))
            grant_request(used, first.id, "owner", out);
        else if (is_owner && !may_get_tokens(state, account, now))
            refuse_request(used, first.id, time_to_token(state, account), now,
                           out);
        else if (now >= first.until)
            decide_alone(state, account, used, first.id, now, out);
        else
            return;
        used.waiting.pop_front();
    }
}

} // namespace gooseberrycove::account_limit
