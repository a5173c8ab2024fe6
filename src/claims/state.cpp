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

void on_job_reply(claims_state& state, claim_job& job,
                  store::reply const& reply, time_point now, actions& out)
{
    if (job.pending_call != reply.number)
        return;
    job.pending_call = 0;
    if (job.phase == job_phase::running)
        return on_restore_reply(state, job, reply, now, out);
    if (is_settling(job))
        return on_settle_reply(state, job, reply, now, out);
    on_claim_reply(state, job, reply, now, out);
}

claim_state state_of_row(claims_state const& state, claim_row const& row)
{
    if (row.is_done)
        return {error_kind::none, row.result};
    return {is_live(state, row.claimant) ? error_kind::in_progress
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

claim_state state_of_reply(claims_state const& state, store::reply const& reply,
                           time_point now)
{
    // An absent row proves nothing while lost rows are written again.
    if (reply.result == store::status::not_found && !is_paused(state, now))
        return {error_kind::no_route, {}};
    if (reply.result != store::status::ok || reply.rows.empty())
        return {error_kind::store_unavailable, {}};
    std::optional<claim_row> const row = decode_row(reply.rows.front().value);
    return row ? state_of_row(state, *row)
               : claim_state{error_kind::outcome_unknown, {}};
}

void deliver_state(state_request const& request, claim_state const& value,
                   actions& out)
{
    if (request.deliver)
        out.callbacks.emplace_back([deliver = request.deliver, value]
                                   { deliver(claim_state(value)); });
}

void on_query_reply(claims_state& state, store::reply const& reply,
                    time_point now, actions& out)
{
    auto const found = state.queries.find(ticket_of(reply.number));
    if (found == state.queries.end() ||
        found->second.pending_call != reply.number)
        return;
    deliver_state(found->second.request, state_of_reply(state, reply, now),
                  out);
    state.queries.erase(found);
}

void tick_job(claims_state& state, claim_job& job, time_point now, actions& out)
{
    if (job.pending_call != 0 &&
        now >= job.pending_since + state.limits.call_timeout)
    {
        store::reply lost;
        lost.number = job.pending_call;
        return on_job_reply(state, job, lost, now, out);
    }
    if (job.is_retry_scheduled && now >= job.retry_at)
    {
        job.is_retry_scheduled = false;
        return is_settling(job) ? settle(state, job, now, out)
                                : read_row(state, job, now, out);
    }
    check_fences(state, job, now, out);
}

void expire_queries(claims_state& state, time_point now, actions& out)
{
    std::vector<store::reply> timeout_replies;
    for (auto const& [ticket, query] : state.queries)
    {
        if (now < query.pending_since + state.limits.call_timeout)
            continue;
        timeout_replies.emplace_back().number = query.pending_call;
    }
    for (store::reply const& reply : timeout_replies)
        on_query_reply(state, reply, now, out);
}

} // namespace

claims_state make_state(daemon_ref own_daemon, std::string address,
                        std::string mint_key)
{
    claims_state state;
    state.own_daemon = own_daemon;
    state.address = std::move(address);
    state.mint_key = std::move(mint_key);
    return state;
}

void on_live_daemons(claims_state& state, members::live_daemons const& update,
                     time_point, actions&)
{
    state.live_daemons = update.daemons;
    std::ranges::sort(state.live_daemons, {}, &daemon_ref::id);
    state.has_received_live_daemons = true;
}

void on_state_request(claims_state& state, state_request const& request,
                      time_point now, actions& out)
{
    if (is_minted(request.key))
        return deliver_state(
            request, minted_state(state, request.account, request.key), out);
    std::string const key = row_key(request.account, request.key);
    if (auto const found = state.job_by_key.find(key);
        found != state.job_by_key.end())
        return deliver_state(request,
                             state_of_job(state.jobs.at(found->second)), out);
    std::uint64_t const ticket = state.next_ticket++;
    std::uint64_t const number = call_number(state, ticket);
    state.queries[ticket] = {request, number, now};
    store::request call;
    call.number = number;
    call.op = store::get_row{key};
    out.store.push_back(std::move(call));
}

void on_store_reply(claims_state& state, store::reply const& reply,
                    time_point now, actions& out)
{
    store::era_change const change = store::observe_era(state.era, reply);
    if (change == store::era_change::newer)
        on_new_store_era(state, now, out);
    auto const found = state.jobs.find(ticket_of(reply.number));
    bool const is_sent_before_restore =
        found != state.jobs.end() &&
        found->second.call_restores != state.restores;
    // The restored store may have lost the write, or have applied it to a row
    // that got the expected version again.
    store::reply lost;
    lost.number = reply.number;
    store::reply const* const used =
        change == store::era_change::older || is_sent_before_restore ? &lost
                                                                     : &reply;
    if (ticket_of(reply.number) == 0)
        return on_page_reply(state, *used, now, out);
    if (found == state.jobs.end())
        return on_query_reply(state, *used, now, out);
    on_job_reply(state, found->second, *used, now, out);
}

time_point on_tick(claims_state& state, time_point now, actions& out)
{
    restore_rows(state, now);
    std::vector<std::uint64_t> active_jobs;
    for (auto const& [ticket, job] : state.jobs)
    {
        if (job.phase != job_phase::running || job.must_restore)
            active_jobs.push_back(ticket);
    }
    for (std::uint64_t const ticket : active_jobs)
    {
        if (auto const found = state.jobs.find(ticket);
            found != state.jobs.end())
            tick_job(state, found->second, now, out);
    }
    expire_queries(state, now, out);
    read_due_page(state, now, out);
    bool const is_busy = !active_jobs.empty() || !state.queries.empty() ||
                         !state.rows_to_restore.empty();
    return now + (is_busy ? busy_tick_period : idle_tick_period);
}

} // namespace gooseberrycove::claims
