#include "claims/job.hpp"

#include <algorithm>

namespace gooseberrycove::claims
{

namespace
{

constexpr duration busy_tick{100'000};
constexpr duration idle_tick{1'000'000};

bool is_settling(job const& j)
{
    return j.step == phase::recording || j.step == phase::unsettling ||
           j.step == phase::releasing || j.step == phase::cleaning;
}

void on_job_reply(state& s, job& j, store::reply const& what, time_point now,
                  actions& out)
{
    if (j.waiting != what.number)
        return;
    j.waiting = 0;
    if (is_settling(j))
        return on_settle_reply(s, j, what, now, out);
    on_claim_reply(s, j, what, now, out);
}

claim_state state_of_row(state const& s, claim_row const& row)
{
    if (row.done)
        return {error_kind::none, row.answer};
    return {is_live(s, row.claimant) ? error_kind::in_progress
                                     : error_kind::outcome_unknown,
            {}};
}

claim_state state_of_job(job const& j)
{
    if (j.step == phase::recording)
        return {error_kind::none, j.mine.answer};
    return {j.step == phase::unsettling ? error_kind::outcome_unknown
                                        : error_kind::in_progress,
            {}};
}

claim_state state_of_reply(state const& s, store::reply const& what)
{
    if (what.result == store::status::not_found)
        return {error_kind::no_route, {}};
    if (what.result != store::status::ok || what.rows.empty())
        return {error_kind::store_unavailable, {}};
    std::optional<claim_row> const row = decode_row(what.rows.front().value);
    return row ? state_of_row(s, *row)
               : claim_state{error_kind::outcome_unknown, {}};
}

void deliver(state_request const& to, claim_state const& value, actions& out)
{
    if (to.deliver)
        out.replies.emplace_back([deliver = to.deliver, value]
                                 { deliver(claim_state(value)); });
}

void on_query_reply(state& s, store::reply const& what, actions& out)
{
    auto const found = s.queries.find(ticket_of(what.number));
    if (found == s.queries.end() || found->second.number != what.number)
        return;
    deliver(found->second.what, state_of_reply(s, what), out);
    s.queries.erase(found);
}

void tick_job(state& s, job& j, time_point now, actions& out)
{
    if (j.waiting != 0 && now >= j.waiting_since + s.limits.call_wait)
    {
        store::reply lost;
        lost.number = j.waiting;
        return on_job_reply(s, j, lost, now, out);
    }
    if (j.retry && now >= j.retry_at)
    {
        j.retry = false;
        return is_settling(j) ? settle(s, j, now, out)
                              : read_row(s, j, now, out);
    }
    check_fences(s, j, now, out);
}

void expire_queries(state& s, time_point now, actions& out)
{
    std::vector<store::reply> lost;
    for (auto const& [ticket, waiting] : s.queries)
    {
        if (now < waiting.since + s.limits.call_wait)
            continue;
        lost.emplace_back().number = waiting.number;
    }
    for (store::reply const& reply : lost)
        on_query_reply(s, reply, out);
}

} // namespace

state make_state(daemon_ref self, std::string address, std::string mint_key)
{
    state s;
    s.self = self;
    s.address = std::move(address);
    s.mint_key = std::move(mint_key);
    return s;
}

void on_live_daemons(state& s, members::live_daemons const& what, time_point,
                     actions&)
{
    s.live = what.daemons;
    std::ranges::sort(s.live, {}, &daemon_ref::id);
    s.live_known = true;
}

void on_state_request(state& s, state_request const& what, time_point now,
                      actions& out)
{
    if (is_minted(what.key))
        return deliver(what, minted_state(s, what.account, what.key), out);
    std::string const key = row_key(what.account, what.key);
    if (auto const held = s.job_of_key.find(key); held != s.job_of_key.end())
        return deliver(what, state_of_job(s.jobs.at(held->second)), out);
    std::uint64_t const ticket = s.next_ticket++;
    std::uint64_t const number = call_number(s, ticket);
    s.queries[ticket] = {what, number, now};
    store::request call;
    call.number = number;
    call.op = store::get_row{key};
    out.store.push_back(std::move(call));
}

void on_store_reply(state& s, store::reply const& what, time_point now,
                    actions& out)
{
    if (ticket_of(what.number) == 0)
        return on_page(s, what, now, out);
    auto const found = s.jobs.find(ticket_of(what.number));
    if (found == s.jobs.end())
        return on_query_reply(s, what, out);
    on_job_reply(s, found->second, what, now, out);
}

time_point on_tick(state& s, time_point now, actions& out)
{
    std::vector<std::uint64_t> active;
    for (auto const& [ticket, j] : s.jobs)
    {
        if (j.step != phase::running)
            active.push_back(ticket);
    }
    for (std::uint64_t const ticket : active)
    {
        if (auto const found = s.jobs.find(ticket); found != s.jobs.end())
            tick_job(s, found->second, now, out);
    }
    expire_queries(s, now, out);
    run_retention(s, now, out);
    bool const busy = !active.empty() || !s.queries.empty();
    return now + (busy ? busy_tick : idle_tick);
}

} // namespace gooseberrycove::claims
