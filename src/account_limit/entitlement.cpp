#include "entitlement.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace gooseberrycove::account_limit
{

namespace
{

/// Length of a slice of owned_account::granted.
constexpr duration grant_slice = std::chrono::milliseconds(100);
/// A bucket holds at least what fills it between two reports.
constexpr double min_burst_seconds = 0.1;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::uint64_t rendezvous_hash(std::uint64_t key, std::uint64_t daemon)
{
    std::array const pair{key, daemon};
    return XXH64(pair.data(), sizeof(pair), 0);
}

bool is_entitled(known_daemon const& known, time_point now)
{
    return known.is_listed || now - known.last_listed < dead_time;
}

double total_burst(double rate, double burst)
{
    return std::max({1.0, burst, rate * min_burst_seconds});
}

std::size_t divided_tokens(double burst)
{
    return static_cast<std::size_t>(burst + fraction_allowance);
}

/// Whole tokens of an account's burst to which a daemon is entitled. The parts
/// of all daemons add up to the burst and fraction_allowance.
/// \param count  count_entitled() of the state
double burst_share(limit_state const& state, std::uint64_t account,
                   std::uint64_t daemon, std::size_t count, double burst,
                   time_point now)
{
    std::size_t const total = divided_tokens(burst);
    std::uint64_t const hash = rendezvous_hash(account, daemon);
    std::size_t rank =
        rendezvous_hash(account, state.own_daemon.id) > hash ? 1 : 0;
    for (auto const& [id, known] : state.daemons)
        rank += is_entitled(known, now) && rendezvous_hash(account, id) > hash;
    std::size_t const share = total / count + (rank < total % count ? 1 : 0);
    return static_cast<double>(share);
}

void note_change(owned_group& group, time_point now)
{
    ++group.version;
    group.changed_at = now;
}

/// Whether no daemon has used an entitlement by itself in the past window, so
/// that the owner's count of the window is that of the fleet.
bool has_whole_window(limit_state const& state, owned_group const& group,
                      time_point now)
{
    return state.window.count() > 0 && now - group.changed_at >= state.window;
}

double delegated_share(owned_group const& group)
{
    double share = 0;
    for (auto const& [id, part] : group.leases)
        share += 1.0 / part.entitled;
    return share;
}

void drop_old_grants(owned_account& owned, duration window, time_point now)
{
    while (!owned.granted.empty() &&
           now - owned.granted.front().first > window + grant_slice)
    {
        owned.granted_sum -= owned.granted.front().second;
        owned.granted.pop_front();
    }
}

void record_grant(owned_account& owned, std::uint32_t count, time_point now)
{
    owned.granted_sum += count;
    if (owned.granted.empty() ||
        now - owned.granted.back().first >= grant_slice)
        owned.granted.emplace_back(now, 0);
    owned.granted.back().second += count;
}

/// Removes the leases that have ended and adds the shares of all to the sum.
void sum_shares(owned_group& group, time_point now)
{
    for (auto const& [id, part] : group.leases)
    {
        time_point const end = std::min(now, part.until);
        if (end > group.summed_at)
            group.share_seconds +=
                seconds(end - group.summed_at) / part.entitled;
    }
    group.summed_at = now;
    if (std::erase_if(group.leases, [now](auto const& entry)
                      { return entry.second.until <= now; }) > 0)
        note_change(group, now);
}

double bucket_size(limit_state const& state, std::uint64_t account,
                   owned_account& owned, owned_group const& group,
                   time_point now)
{
    if (owned.size_group_version == group.version &&
        owned.size_fleet_version == state.fleet_version)
        return owned.size;
    owned.size_group_version = group.version;
    owned.size_fleet_version = state.fleet_version;
    double const burst = total_burst(owned.rate, owned.burst);
    owned.size = 0;
    std::size_t const count = count_entitled(state, now);
    for (auto const& [id, part] : group.leases)
    {
        // Whole parts would add up to nothing while daemons disagree on their
        // number, so that a small burst is used up by no request.
        owned.size += part.entitled == count
                          ? burst_share(state, account, id, count, burst, now)
                          : burst / part.entitled;
    }
    return owned.size;
}

} // namespace

limit_state make_state(daemon_ref own_daemon, std::string_view own_address,
                       time_point now, duration window)
{
    limit_state state;
    state.own_daemon = own_daemon;
    state.own_address = own_address;
    state.started = now;
    state.window = window;
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

std::uint32_t group_of(std::uint64_t account)
{
    return static_cast<std::uint32_t>(account % group_count);
}

duration lease_time(limit_state const& state, time_point now)
{
    constexpr auto daemons_at_minimum = 75;
    return std::clamp<duration>(
        min_lease_time *
            static_cast<duration::rep>(count_entitled(state, now)) /
            daemons_at_minimum,
        min_lease_time, max_lease_time);
}

daemon_ref owner_of(limit_state const& state, std::uint64_t account)
{
    std::uint32_t const group = group_of(account);
    daemon_ref owner = state.own_daemon;
    std::uint64_t highest = rendezvous_hash(group, owner.id);
    for (auto const& [id, known] : state.daemons)
    {
        if (!known.member.is_live || state.avoided.contains(id))
            continue;
        std::uint64_t const hash = rendezvous_hash(group, id);
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

std::size_t effective_count(limit_state const& state, time_point now)
{
    return std::max(count_entitled(state, now), state.heard_entitled);
}

time_point entitled_from(limit_state const& state, time_point now)
{
    return state.started +
           (state.has_joined ? lease_time(state, now) : alone_time);
}

time_point own_use_from(limit_state const& state, std::uint64_t account,
                        time_point now)
{
    return std::max(entitled_from(state, now),
                    state.delegations[group_of(account)].until);
}

entitlement own_entitlement(limit_state const& state, std::uint64_t account,
                            used_account const& used, time_point now)
{
    if (used.rate <= 0)
        return {};
    std::size_t const known = count_entitled(state, now);
    std::size_t const count = effective_count(state, now);
    double const burst = total_burst(used.rate, used.burst);
    if (count == known)
        return {used.rate / static_cast<double>(count),
                burst_share(state, account, state.own_daemon.id, known, burst,
                            now)};
    // The order among daemons that are not known is unknown as well.
    std::size_t const share = divided_tokens(burst) / count;
    return {used.rate / static_cast<double>(count), static_cast<double>(share)};
}

void fill_own(limit_state const& state, std::uint64_t account,
              used_account& used, time_point now)
{
    time_point const start = own_use_from(state, account, now);
    bucket& own = used.own;
    if (own.filled_at < start)
        own = {0, start};
    if (now < own.filled_at)
        return;
    entitlement const part = own_entitlement(state, account, used, now);
    own.tokens = std::min(
        part.burst, own.tokens + part.rate * seconds(now - own.filled_at));
    own.filled_at = now;
}

owned_account& fill_owned(limit_state& state, std::uint64_t account,
                          double rate, double burst, time_point now)
{
    owned_group& group = state.owned_groups[group_of(account)];
    sum_shares(group, now);
    owned_account& owned = state.owned[account];
    if (owned.rate != rate || owned.burst != burst)
        owned.size_group_version = 0;
    owned.rate = rate;
    owned.burst = burst;
    // A token bucket permits the burst once; a window permits it again and
    // again, and take_tokens() bounds what it adds up to.
    double const burst_rate =
        has_whole_window(state, group, now) ? burst / seconds(state.window) : 0;
    owned.tokens = std::min(
        bucket_size(state, account, owned, group, now),
        owned.tokens + (rate + burst_rate) *
                           (group.share_seconds - owned.filled_share_seconds));
    owned.filled_share_seconds = group.share_seconds;
    return owned;
}

std::uint32_t take_tokens(limit_state& state, std::uint64_t account,
                          double rate, double burst, std::uint32_t wanted,
                          time_point now)
{
    owned_account& owned = fill_owned(state, account, rate, burst, now);
    double allowed = std::floor(owned.tokens);
    drop_old_grants(owned, state.window, now);
    if (state.window.count() > 0)
    {
        double const limit =
            delegated_share(state.owned_groups[group_of(account)]) *
            (rate * seconds(state.window) + burst + fraction_allowance);
        allowed = std::min(allowed, std::floor(limit) - owned.granted_sum);
    }
    auto const taken =
        static_cast<std::uint32_t>(std::clamp<double>(allowed, 0, wanted));
    owned.tokens -= taken;
    if (taken > 0 && state.window.count() > 0)
        record_grant(owned, taken, now);
    return taken;
}

duration time_to_token(limit_state const& state, std::uint64_t account)
{
    auto const found = state.owned.find(account);
    if (found == state.owned.end())
        return std::chrono::seconds(1);
    owned_account const& owned = found->second;
    double const rate =
        owned.rate * delegated_share(state.owned_groups[group_of(account)]);
    double const missing = 1 - owned.tokens;
    if (rate <= 0 || missing > 60 * rate)
        return std::chrono::seconds(1);
    return duration(std::max<duration::rep>(
        1000,
        static_cast<duration::rep>(std::ceil(missing / rate * 1'000'000))));
}

void set_lease(owned_group& group, std::uint64_t daemon, lease const& given,
               time_point now)
{
    sum_shares(group, now);
    lease& kept = group.leases[daemon];
    if (kept.until == time_point() || kept.entitled != given.entitled)
        note_change(group, now);
    kept = given;
}

void end_lease(owned_group& group, std::uint64_t daemon, time_point now)
{
    sum_shares(group, now);
    if (group.leases.erase(daemon) > 0)
        note_change(group, now);
}

void delegate_to_self(limit_state& state, std::uint32_t group, time_point now)
{
    delegation& given = state.delegations[group];
    bool const is_held_by_other =
        given.holder.id != state.own_daemon.id && now < given.until;
    if (is_held_by_other || now < entitled_from(state, now))
        return;
    given.holder = state.own_daemon;
    given.until = now + lease_time(state, now);
    given.uses_own = false;
    set_lease(
        state.owned_groups[group], state.own_daemon.id,
        {static_cast<std::uint32_t>(effective_count(state, now)), given.until},
        now);
}

bool update_owner(limit_state& state, std::uint32_t group, time_point now)
{
    delegation& given = state.delegations[group];
    if (given.owner_version == state.fleet_version)
        return false;
    daemon_ref const earlier = given.owner;
    given.owner = owner_of(state, group);
    given.owner_version = state.fleet_version;
    if (given.owner == earlier)
        return false;
    if (given.owner.id == state.own_daemon.id)
    {
        state.owned_groups[group].gathering_until = now + gathering_time;
    }
    else if (given.holder.id == state.own_daemon.id && now < given.until)
    {
        end_lease(state.owned_groups[group], state.own_daemon.id, now);
        given.until = now;
    }
    return earlier.id != 0 && earlier.id != given.owner.id;
}

void on_configured(limit_state& state, configured const& update)
{
    state.has_limits = update.has_limits;
}

void on_clock_gap(limit_state& state, time_point now)
{
    for (owned_group& group : state.owned_groups)
    {
        std::erase_if(group.leases, [&](auto const& entry)
                      { return entry.first != state.own_daemon.id; });
        group.summed_at = now;
        note_change(group, now);
    }
    for (auto& [account, owned] : state.owned)
        owned.tokens = 0;
    for (auto& [account, used] : state.used)
        used.stock.clear();
}

} // namespace gooseberrycove::account_limit
