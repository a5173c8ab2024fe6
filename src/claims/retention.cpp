#include "claims/job.hpp"

#include <algorithm>

namespace gooseberrycove::claims
{

namespace
{

bool is_past(state const& s, claim_row const& row, std::uint64_t unix_now)
{
    bool const held = !row.done && is_live(s, row.claimant);
    return !held && row.written + s.limits.row_seconds < unix_now;
}

/// One write deletes all old rows of a page.
store::transaction delete_past(state const& s, std::span<store::row const> rows,
                               std::uint64_t unix_now)
{
    store::transaction write;
    for (store::row const& row : rows)
    {
        std::optional<claim_row> const found = decode_row(row.value);
        if (!found || !is_past(s, *found, unix_now))
            continue;
        write.conditions.push_back({row.key, row.version});
        write.deletes.push_back(row.key);
    }
    return write;
}

store::request make_call(state& s, store::operation&& what)
{
    store::request call;
    call.number = call_number(s, 0);
    call.op = std::move(what);
    return call;
}

} // namespace

void run_retention(state& s, time_point now, actions& out)
{
    if (s.unix_start == 0 || now < s.next_page)
        return;
    duration const shared =
        s.limits.page_period * static_cast<std::int64_t>(s.live.size() + 1);
    s.next_page = now + std::max(s.limits.least_page_period, shared);
    store::request call = make_call(
        s, store::scan_rows{"claim/", s.page_after, s.limits.page_rows});
    s.page_call = call.number;
    out.store.push_back(std::move(call));
}

void on_page(state& s, store::reply const& what, time_point now, actions& out)
{
    if (what.number != s.page_call || what.result != store::status::ok)
        return;
    s.page_call = 0;
    bool const last = what.rows.size() < s.limits.page_rows;
    s.page_after = last ? std::string() : what.rows.back().key;
    store::transaction write = delete_past(s, what.rows, unix_time(s, now));
    if (!write.deletes.empty())
        out.store.push_back(make_call(s, std::move(write)));
}

} // namespace gooseberrycove::claims
