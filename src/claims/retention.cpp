#include "claims/job.hpp"

#include <algorithm>

namespace gooseberrycove::claims
{

namespace
{

bool is_expired(state const& claims, claim_row const& row,
                std::uint64_t unix_now)
{
    bool const is_held = !row.is_done && is_live(claims, row.claimant);
    return !is_held &&
           row.written + claims.limits.row_retention_seconds < unix_now;
}

/// Transaction that deletes all expired rows of a page.
store::transaction make_expiry_write(state const& claims,
                                     std::span<store::row const> rows,
                                     std::uint64_t unix_now)
{
    store::transaction write;
    for (store::row const& row : rows)
    {
        std::optional<claim_row> const found = decode_row(row.value);
        if (!found || !is_expired(claims, *found, unix_now))
            continue;
        write.conditions.push_back({row.key, row.version});
        write.deletes.push_back(row.key);
    }
    return write;
}

store::request make_call(state& claims, store::operation&& operation)
{
    store::request call;
    call.number = call_number(claims, 0);
    call.op = std::move(operation);
    return call;
}

} // namespace

void read_due_page(state& claims, time_point now, actions& out)
{
    if (claims.unix_time_at_start == 0 || now < claims.next_page_due)
        return;
    duration const period_share =
        claims.limits.fleet_page_period *
        static_cast<std::int64_t>(claims.live_daemons.size() + 1);
    claims.next_page_due =
        now + std::max(claims.limits.min_page_period, period_share);
    store::request call =
        make_call(claims, store::scan_rows{"claim/", claims.page_after_key,
                                           claims.limits.rows_per_page});
    claims.pending_page_call = call.number;
    out.store.push_back(std::move(call));
}

void on_page_reply(state& claims, store::reply const& reply, time_point now,
                   actions& out)
{
    if (reply.number != claims.pending_page_call ||
        reply.result != store::status::ok)
        return;
    claims.pending_page_call = 0;
    bool const is_last_page = reply.rows.size() < claims.limits.rows_per_page;
    claims.page_after_key =
        is_last_page ? std::string() : reply.rows.back().key;
    store::transaction write =
        make_expiry_write(claims, reply.rows, unix_time(claims, now));
    if (!write.deletes.empty())
        out.store.push_back(make_call(claims, std::move(write)));
}

} // namespace gooseberrycove::claims
