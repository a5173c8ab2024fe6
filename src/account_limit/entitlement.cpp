#include "entitlement.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace gooseberrycove::account_limit
{

namespace
{

/// A bucket holds at least what fills it between two reports.
constexpr double min_burst_seconds = 0.1;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::uint64_t rendezvous_hash(std::uint64_t account, std::uint64_t daemon)
{
    std::array const key{account, daemon};
    return XXH64(key.data(), sizeof(key), 0);
}

bool is_entitled(known_daemon const& known, time_point now)
{
    return known.is_listed || now - known.last_listed < dead_time;
}

} // namespace

limit_state make_state(daemon_ref own_daemon, std::string_view own_address,
                       time_point now)
{
    limit_state state;
    state.own_daemon = own_daemon;
    state.own_address = own_address;
    state.started = now;
    return state;
}

void on_fleet(limit_state& state, fleet const& update, time_point now)
{
    state.has_joined = state.has_joined || update.has_joined;
    ++state.fleet_version;
    for (auto& [id, known] : state.daemons)
    {
        // One that was leaving has ended and does not count as dead.
        if (known.is_listed)
            known.last_listed = known.member.is_live ? now : now - dead_time;
        known.is_listed = false;
        known.member.is_live = false;
    }
    for (fleet_member const& member : update.members)
    {
        if (member.daemon.id == state.own_daemon.id)
            continue;
        state.daemons[member.daemon.id] = {member, now, true};
    }
    std::erase_if(state.daemons, [now](auto const& entry)
                  { return !is_entitled(entry.second, now); });
}

daemon_ref owner_of(limit_state const& state, std::uint64_t account)
{
    daemon_ref owner = state.own_daemon;
    std::uint64_t highest = rendezvous_hash(account, owner.id);
    for (auto const& [id, known] : state.daemons)
    {
        if (!known.member.is_live)
            continue;
        std::uint64_t const hash = rendezvous_hash(account, id);
        if (hash <= highest)
            continue;
        highest = hash;
        owner = known.member.daemon;
    }
    return owner;
}

std::size_t count_entitled(limit_state const& state, time_point now)
{
    auto const others =
        std::ranges::count_if(state.daemons, [now](auto const& entry)
                              { return is_entitled(entry.second, now); });
    return static_cast<std::size_t>(others) + 1;
}

void note_entitled(limit_state& state, std::size_t told, time_point now)
{
    if (told < state.heard_entitled && now - state.heard_at < heard_time)
        return;
    state.heard_entitled = told;
    state.heard_at = now;
}

time_point entitled_from(limit_state const& state)
{
    return state.started + (state.has_joined ? lease_time : alone_time);
}

entitlement own_entitlement(limit_state const& state, std::uint64_t account,
                            used_account const& used, time_point now)
{
    if (used.rate <= 0)
        return {};
    std::uint64_t const own_hash =
        rendezvous_hash(account, state.own_daemon.id);
    std::size_t count = 1;
    std::size_t rank = 0;
    for (auto const& [id, known] : state.daemons)
    {
        if (!is_entitled(known, now))
            continue;
        ++count;
        rank += rendezvous_hash(account, id) > own_hash ? 1 : 0;
    }
    double const burst =
        std::max({1.0, used.burst, used.rate * min_burst_seconds});
    auto const total = static_cast<std::size_t>(burst + fraction_allowance);
    if (count < state.heard_entitled)
    {
        // The order among daemons that are not known is unknown as well.
        count = state.heard_entitled;
        rank = count;
    }
    std::size_t const share = total / count + (rank < total % count ? 1 : 0);
    return {used.rate / static_cast<double>(count), static_cast<double>(share)};
}

void fill_own(limit_state const& state, std::uint64_t account,
              used_account& used, time_point now)
{
    bucket& own = used.own;
    own.filled_at = std::max(own.filled_at, entitled_from(state));
    if (now < own.filled_at)
        return;
    entitlement const part = own_entitlement(state, account, used, now);
    own.tokens = std::min(
        part.burst, own.tokens + part.rate * seconds(now - own.filled_at));
    own.filled_at = now;
}

void add_tokens(owned_account& owned, double tokens)
{
    double limit = 0;
    for (auto const& [id, part] : owned.leases)
        limit += part.burst;
    owned.tokens.tokens = std::min(limit, owned.tokens.tokens + tokens);
}

void fill_owned(owned_account& owned, time_point now)
{
    double filled = 0;
    for (auto const& [id, part] : owned.leases)
    {
        time_point const end = std::min(now, part.until);
        if (end > owned.tokens.filled_at)
            filled += part.rate * seconds(end - owned.tokens.filled_at);
    }
    owned.tokens.filled_at = now;
    std::erase_if(owned.leases, [now](auto const& entry)
                  { return entry.second.until <= now; });
    add_tokens(owned, filled);
}

duration time_to_token(owned_account const& owned)
{
    double rate = 0;
    for (auto const& [id, part] : owned.leases)
        rate += part.rate;
    double const missing = 1 - owned.tokens.tokens;
    if (rate <= 0 || missing > 60 * rate)
        return std::chrono::seconds(1);
    return duration(std::max<duration::rep>(
        1000,
        static_cast<duration::rep>(std::ceil(missing / rate * 1'000'000))));
}

void note_wanted(owned_account& owned, time_point now)
{
    if (now - owned.last_wanted > use_time)
    {
        owned.gathering_until = now + gathering_time;
        owned.next_notice = now;
    }
    owned.last_wanted = now;
}

void delegate_to_self(limit_state& state, std::uint64_t account,
                      used_account& used, time_point now)
{
    owned_account& owned = state.owned[account];
    fill_owned(owned, now);
    bool const is_held_by_other =
        used.lease_holder.id != state.own_daemon.id && now < used.lease_until;
    if (is_held_by_other || now < entitled_from(state))
        return;
    entitlement const part = own_entitlement(state, account, used, now);
    owned.leases[state.own_daemon.id] = {part.rate, part.burst,
                                         now + lease_time};
    owned.rate = used.rate;
    owned.burst = used.burst;
    fill_own(state, account, used, now);
    add_tokens(owned, used.own.tokens);
    used.lease_holder = state.own_daemon;
    used.lease_until = now + lease_time;
    used.own = {0, used.lease_until};
}

bool update_owner(limit_state& state, std::uint64_t account, used_account& used,
                  time_point now)
{
    if (used.owner_version == state.fleet_version)
        return false;
    daemon_ref const earlier = used.owner;
    used.owner = owner_of(state, account);
    used.owner_version = state.fleet_version;
    if (used.owner.id != state.own_daemon.id &&
        used.lease_holder.id == state.own_daemon.id && now < used.lease_until)
    {
        state.owned[account].leases.erase(state.own_daemon.id);
        used.lease_until = now;
        used.own = {0, now};
    }
    return earlier.id != 0 && earlier.id != used.owner.id;
}

void on_clock_gap(limit_state& state, time_point now)
{
    for (auto& [account, owned] : state.owned)
    {
        std::erase_if(owned.leases, [&](auto const& entry)
                      { return entry.first != state.own_daemon.id; });
        owned.tokens = {0, now};
    }
    for (auto& [account, used] : state.used)
        used.stock.clear();
}

} // namespace gooseberrycove::account_limit
