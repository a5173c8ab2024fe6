#include "members/peers.hpp"
#include "members/row_cleanup.hpp"
#include "members/stored_withdrawals.hpp"
#include "members/sync.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

constexpr unsigned slot_count = 16;
constexpr std::string_view row_prefix = "rendezvous/";
/// After a restart of all daemons at once the fleet serves no requests until
/// they have found each other, which takes one period.
constexpr duration alone_scan_period{1'000'000};
/// The daemons check their rows at different times after a restore.
constexpr std::uint64_t max_check_delay_us = 2'000'000;

std::string slot_key(std::uint64_t slot)
{
    return fmt::format("{}{:02}", row_prefix, slot);
}

bool is_live_address(membership_state const& state, std::string_view address)
{
    return std::ranges::any_of(
        state.peers, [&](member const& peer)
        { return peer.record.address == address && is_live(peer.record); });
}

/// Returns the key of an unused slot, else of one whose daemon is not live,
/// else of a random one.
std::string choose_slot(membership_state& state,
                        std::vector<store::row> const& rows)
{
    std::uint64_t const start = state.random() % slot_count;
    std::string stale_key;
    for (std::uint64_t step = 0; step < slot_count; ++step)
    {
        std::string key = slot_key((start + step) % slot_count);
        auto const row = std::ranges::find(rows, key, &store::row::key);
        if (row == rows.end())
            return key;
        if (stale_key.empty() && !is_live_address(state, row->value))
            stale_key = key;
    }
    return stale_key.empty() ? slot_key(start) : stale_key;
}

void write_row(membership_state& state, std::vector<store::row> const& rows,
               actions& out)
{
    store::transaction write;
    std::string const key = choose_slot(state, rows);
    if (std::ranges::find(rows, key, &store::row::key) == rows.end())
        write.conditions.push_back({key, 0});
    write.puts.push_back({key, state.own_record.address});
    store::request request;
    request.number = write_rendezvous_number;
    request.op = std::move(write);
    out.store_requests.push_back(std::move(request));
}

/// Uses the era of a reply. Returns false when the reply shows rows of an
/// earlier era.
bool accept_reply(membership_state& state, store::reply const& reply)
{
    store::era_change const change =
        store::observe_era(state.rendezvous_era, reply);
    if (change == store::era_change::newer)
    {
        state.must_check_rendezvous = state.has_rendezvous_row;
        rewrite_stored_withdrawals(state);
    }
    return change != store::era_change::older;
}

void on_rendezvous_rows(membership_state& state, store::reply const& reply,
                        bool is_usable, time_point now, actions& out)
{
    if (!is_usable || reply.result != store::status::ok)
    {
        // The next regular scan is minutes away.
        if (state.must_check_rendezvous)
            state.next_rendezvous = now + alone_scan_period;
        return;
    }
    state.should_write_rendezvous =
        state.should_write_rendezvous || state.must_check_rendezvous;
    state.must_check_rendezvous = false;
    state.rendezvous_addresses.clear();
    for (store::row const& row : reply.rows)
        state.rendezvous_addresses.push_back(row.value);
    // Joins at once: after a restart of all daemons the fleet refuses requests
    // until they have peers.
    if (live_peer_count(state) == 0)
        state.next_join = now;
    bool const is_listed = std::ranges::find(state.rendezvous_addresses,
                                             state.own_record.address) !=
                           state.rendezvous_addresses.end();
    if (state.should_write_rendezvous && !is_listed)
        write_row(state, reply.rows, out);
}

} // namespace

void check_rendezvous_era(membership_state& state, std::uint64_t store_era,
                          time_point now)
{
    if (store_era <= state.rendezvous_era.era)
        return;
    if (state.stored.version)
        rewrite_stored_withdrawals(state);
    if (!state.has_rendezvous_row)
        return;
    state.must_check_rendezvous = true;
    state.next_rendezvous =
        now + duration(static_cast<int>(state.random() % max_check_delay_us));
}

void run_rendezvous(membership_state& state, time_point now, actions& out)
{
    if (now < state.next_rendezvous ||
        state.own_record.state == peer_state::leaving)
        return;
    std::size_t const other_daemons = live_peer_count(state);
    bool const is_alone = other_daemons == 0;
    duration const period =
        is_alone ? alone_scan_period : state.parameters.rendezvous_period;
    // Jitter of up to a quarter, so that daemons started together do not call
    // the table service together.
    auto const quarter = static_cast<std::uint64_t>(period.count() / 4 + 1);
    state.next_rendezvous =
        now + period + duration(static_cast<int>(state.random() % quarter));
    // 16 daemons of the fleet, on average, rewrite a row in each period.
    bool const is_chosen = state.random() % (other_daemons + 1) < slot_count ||
                           state.must_check_rendezvous;
    if (!is_alone && !is_chosen)
        return;
    state.should_write_rendezvous = is_chosen;
    store::request request;
    request.number = scan_rendezvous_number;
    request.op = store::scan_rows{std::string(row_prefix), {}, slot_count};
    out.store_requests.push_back(std::move(request));
}

void on_store_reply(membership_state& state, store::reply const& reply,
                    time_point now, actions& out)
{
    bool const is_usable = accept_reply(state, reply);
    switch (reply.number)
    {
    case read_withdrawals_number:
    case write_withdrawals_number:
        return on_stored_withdrawals_reply(state, reply, is_usable, now, out);
    case scan_withdrawals_number:
        if (is_usable)
            delete_abandoned_rows(state, reply, now, out);
        return;
    case write_rendezvous_number:
        state.has_rendezvous_row =
            state.has_rendezvous_row || reply.result == store::status::ok;
        return;
    case scan_rendezvous_number:
        return on_rendezvous_rows(state, reply, is_usable, now, out);
    default:
        return;
    }
}

} // namespace gooseberrycove::members
