#include "claims/job.hpp"

#include <algorithm>

namespace gooseberrycove::claims
{

namespace
{

bool is_expired(claims_state const& state, claim_row const& row,
                std::uint64_t unix_now)
{
    bool const is_held = !row.is_done && is_live(state, row.claimant);
    return !is_held &&
           row.written + state.limits.row_retention_seconds < unix_now;
}

/// Transaction that deletes all expired rows of a page.
store::transaction make_expiry_write(claims_state const& state,
                                     std::span<store::row const> rows,
                                     std::uint64_t unix_now)
{
    store::transaction write;
    for (store::row const& row : rows)
    {
        std::optional<claim_row> const found = decode_row(row.value);
        if (!found || !is_expired(state, *found, unix_now))
            continue;
        write.conditions.push_back({row.key, row.version});
        write.deletes.push_back(row.key);
    }
    return write;
}

store::request make_call(claims_state& state, store::operation&& operation)
{
    store::request call;
    call.number = call_number(state, 0);
    call.op = std::move(operation);
    return call;
}

} // namespace

void read_due_page(claims_state& state, time_point now, actions& out)
{
    if (state.unix_time_at_start == 0 || now < state.next_page_due)
        return;
    duration const period_share =
        state.limits.fleet_page_period *
        static_cast<std::int64_t>(state.live_daemons.size() + 1);
    state.next_page_due =
        now + std::max(state.limits.min_page_period, period_share);
    store::request call =
        make_call(state, store::scan_rows{"claim/", state.page_after_key,
                                          state.limits.rows_per_page});
    state.pending_page_call = call.number;
    out.store.push_back(std::move(call));
}

void on_page_reply(claims_state& state, store::reply const& reply,
                   time_point now, actions& out)
{
    if (reply.number != state.pending_page_call ||
        reply.result != store::status::ok)
        return;
    state.pending_page_call = 0;
    bool const is_last_page = reply.rows.size() < state.limits.rows_per_page;
    state.page_after_key = is_last_page ? std::string() : reply.rows.back().key;
    store::transaction write =
        make_expiry_write(state, reply.rows, unix_time(state, now));
    if (!write.deletes.empty())
        out.store.push_back(make_call(state, std::move(write)));
}

} // namespace gooseberrycove::claims
