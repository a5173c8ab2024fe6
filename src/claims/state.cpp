#include "claims/job.hpp"

#include <algorithm>

namespace gooseberrycove::claims
{

namespace
{

constexpr duration busy_tick_period{100'000};
constexpr duration idle_tick_period{1'000'000};

bool is_settling(claim_job const& job)
{
    return job.phase == job_phase::recording ||
           job.phase == job_phase::abandoning ||
           job.phase == job_phase::releasing ||
           job.phase == job_phase::removing;
}

void on_job_reply(state& claims, claim_job& job, store::reply const& reply,
                  time_point now, actions& out)
{
    if (job.pending_call != reply.number)
        return;
    job.pending_call = 0;
    if (is_settling(job))
        return on_settle_reply(claims, job, reply, now, out);
    on_claim_reply(claims, job, reply, now, out);
}

claim_state state_of_row(state const& claims, claim_row const& row)
{
    if (row.is_done)
        return {error_kind::none, row.result};
    return {is_live(claims, row.claimant) ? error_kind::in_progress
                                          : error_kind::outcome_unknown,
            {}};
}

claim_state state_of_job(claim_job const& job)
{
    if (job.phase == job_phase::recording)
        return {error_kind::none, job.own_row.result};
    return {job.phase == job_phase::abandoning ? error_kind::outcome_unknown
                                               : error_kind::in_progress,
            {}};
}

claim_state state_of_reply(state const& claims, store::reply const& reply)
{
    if (reply.result == store::status::not_found)
        return {error_kind::no_route, {}};
    if (reply.result != store::status::ok || reply.rows.empty())
        return {error_kind::store_unavailable, {}};
    std::optional<claim_row> const row = decode_row(reply.rows.front().value);
    return row ? state_of_row(claims, *row)
               : claim_state{error_kind::outcome_unknown, {}};
}

void deliver_state(state_request const& request, claim_state const& value,
                   actions& out)
{
    if (request.deliver)
        out.callbacks.emplace_back([deliver = request.deliver, value]
                                   { deliver(claim_state(value)); });
}

void on_query_reply(state& claims, store::reply const& reply, actions& out)
{
    auto const found = claims.queries.find(ticket_of(reply.number));
    if (found == claims.queries.end() ||
        found->second.pending_call != reply.number)
        return;
    deliver_state(found->second.request, state_of_reply(claims, reply), out);
    claims.queries.erase(found);
}

void tick_job(state& claims, claim_job& job, time_point now, actions& out)
{
    if (job.pending_call != 0 &&
        now >= job.pending_since + claims.limits.call_timeout)
    {
        store::reply lost;
        lost.number = job.pending_call;
        return on_job_reply(claims, job, lost, now, out);
    }
    if (job.is_retry_scheduled && now >= job.retry_at)
    {
        job.is_retry_scheduled = false;
        return is_settling(job) ? settle(claims, job, now, out)
                                : read_row(claims, job, now, out);
    }
    check_fences(claims, job, now, out);
}

void expire_queries(state& claims, time_point now, actions& out)
{
    std::vector<store::reply> lost;
    for (auto const& [ticket, query] : claims.queries)
    {
        if (now < query.pending_since + claims.limits.call_timeout)
            continue;
        lost.emplace_back().number = query.pending_call;
    }
    for (store::reply const& reply : lost)
        on_query_reply(claims, reply, out);
}

} // namespace

state make_state(daemon_ref own_daemon, std::string address,
                 std::string mint_key)
{
    state claims;
    claims.own_daemon = own_daemon;
    claims.address = std::move(address);
    claims.mint_key = std::move(mint_key);
    return claims;
}

void on_live_daemons(state& claims, members::live_daemons const& update,
                     time_point, actions&)
{
    claims.live_daemons = update.daemons;
    std::ranges::sort(claims.live_daemons, {}, &daemon_ref::id);
    claims.has_received_live_daemons = true;
}

void on_state_request(state& claims, state_request const& request,
                      time_point now, actions& out)
{
    if (is_minted(request.key))
        return deliver_state(
            request, minted_state(claims, request.account, request.key), out);
    std::string const key = row_key(request.account, request.key);
    if (auto const found = claims.job_by_key.find(key);
        found != claims.job_by_key.end())
        return deliver_state(request,
                             state_of_job(claims.jobs.at(found->second)), out);
    std::uint64_t const ticket = claims.next_ticket++;
    std::uint64_t const number = call_number(claims, ticket);
    claims.queries[ticket] = {request, number, now};
    store::request call;
    call.number = number;
    call.op = store::get_row{key};
    out.store.push_back(std::move(call));
}

void on_store_reply(state& claims, store::reply const& reply, time_point now,
                    actions& out)
{
    if (ticket_of(reply.number) == 0)
        return on_page_reply(claims, reply, now, out);
    auto const found = claims.jobs.find(ticket_of(reply.number));
    if (found == claims.jobs.end())
        return on_query_reply(claims, reply, out);
    on_job_reply(claims, found->second, reply, now, out);
}

time_point on_tick(state& claims, time_point now, actions& out)
{
    std::vector<std::uint64_t> active_jobs;
    for (auto const& [ticket, job] : claims.jobs)
    {
        if (job.phase != job_phase::running)
            active_jobs.push_back(ticket);
    }
    for (std::uint64_t const ticket : active_jobs)
    {
        if (auto const found = claims.jobs.find(ticket);
            found != claims.jobs.end())
            tick_job(claims, found->second, now, out);
    }
    expire_queries(claims, now, out);
    read_due_page(claims, now, out);
    bool const is_busy = !active_jobs.empty() || !claims.queries.empty();
    return now + (is_busy ? busy_tick_period : idle_tick_period);
}

} // namespace gooseberrycove::claims
