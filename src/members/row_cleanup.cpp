#include "members/row_cleanup.hpp"

#include "members/peers.hpp"
#include "members/withdrawal_row.hpp"

#include <fmt/format.h>

namespace gooseberrycove::members
{

namespace
{

/// Daemons of the fleet, on average, that read a page in each period.
constexpr std::uint64_t cleaners_per_period = 4;
constexpr std::size_t rows_per_page = 100;
/// Exceeds the time for which a withdrawal is of use by far, because the times
/// of day of two machines may differ.
constexpr std::uint64_t withdrawal_retention_ms = 3'600'000;
/// A VM may be down for days and must then still know the operator's drain.
constexpr std::uint64_t drain_retention_ms = withdrawal_retention_ms * 24 * 30;

bool is_abandoned(store::row const& row, std::uint64_t present_ms)
{
    std::optional<withdrawal_record> const record =
        parse_withdrawal_record(row.value);
    if (!record)
        return false;
    std::uint64_t const retention_ms =
        record->drains.empty() ? withdrawal_retention_ms : drain_retention_ms;
    return record->unix_ms + retention_ms < present_ms;
}

} // namespace

void run_row_cleanup(membership_state& state, time_point now, actions& out)
{
    if (now < state.stored.next_cleanup)
        return;
    state.stored.next_cleanup = now + state.parameters.rendezvous_period;
    if (state.random() % (live_peer_count(state) + 1) >= cleaners_per_period)
        return;
    store::request request;
    request.number = scan_withdrawals_number;
    request.op =
        store::scan_rows{std::string(withdrawal_row_prefix),
                         withdrawal_row_key(state.random()), rows_per_page};
    out.store_requests.push_back(std::move(request));
}

void delete_abandoned_rows(membership_state& state, store::reply const& reply,
                           time_point now, actions& out)
{
    std::uint64_t const present_ms = unix_ms_at(state, now);
    store::transaction removal;
    for (store::row const& row : reply.rows)
    {
        if (!row.key.starts_with(withdrawal_row_prefix) ||
            !is_abandoned(row, present_ms))
            continue;
        removal.conditions.push_back({row.key, row.version});
        removal.deletes.push_back(row.key);
    }
    if (removal.deletes.empty())
        return;
    store::request request;
    request.number = delete_withdrawals_number;
    request.op = std::move(removal);
    out.store_requests.push_back(std::move(request));
}

} // namespace gooseberrycove::members
