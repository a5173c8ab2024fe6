#include "claims/job.hpp"

#include <algorithm>

namespace gooseberrycove::claims
{

namespace
{

constexpr unsigned call_number_bits = 24;

} // namespace

std::uint64_t unix_time(claims_state const& state, time_point now)
{
    auto const elapsed =
        std::chrono::duration_cast<std::chrono::seconds>(now - state.started);
    return state.unix_time_at_start +
           static_cast<std::uint64_t>(elapsed.count());
}

std::uint64_t call_number(claims_state& state, std::uint64_t ticket)
{
    std::uint64_t const call =
        state.next_call++ & ((1U << call_number_bits) - 1);
    return (ticket << call_number_bits) | call;
}

std::uint64_t ticket_of(std::uint64_t number)
{
    return number >> call_number_bits;
}

void call_store(claims_state& state, claim_job& job,
                store::operation&& operation, time_point now, actions& out)
{
    job.is_read_call = std::holds_alternative<store::get_row>(operation);
    store::request call;
    call.number = call_number(state, job.ticket);
    call.op = std::move(operation);
    job.pending_call = call.number;
    job.pending_since = now;
    job.call_restores = state.restores;
    job.is_retry_scheduled = false;
    out.store.push_back(std::move(call));
}

void read_row(claims_state& state, claim_job& job, time_point now, actions& out)
{
    call_store(state, job, store::get_row{job.store_key}, now, out);
}

void write_row(claims_state& state, claim_job& job, std::uint64_t version,
               time_point now, actions& out)
{
    job.own_row.written = unix_time(state, now);
    if (job.phase == job_phase::inserting ||
        job.phase == job_phase::taking_over)
        job.own_row.era = state.era.era;
    store::transaction write;
    write.conditions.push_back({job.store_key, version});
    write.puts.push_back({job.store_key, encode_row(job.own_row)});
    call_store(state, job, std::move(write), now, out);
}

void schedule_retry(claims_state const& state, claim_job& job, time_point now)
{
    int const doublings = std::min(job.retries, 10);
    duration delay =
        std::min(state.limits.initial_retry_delay * (1 << doublings),
                 state.limits.max_retry_delay);
    // Lost rows have to be written again before the pause ends.
    if (is_paused(state, now))
        delay = std::min(delay, state.limits.max_retry_delay_in_pause);
    ++job.retries;
    job.is_retry_scheduled = true;
    job.retry_at = now + delay;
}

bool is_live(claims_state const& state, daemon_ref daemon)
{
    if (daemon.id == 0)
        return false;
    // Until members has sent the live daemons, all daemons count as live.
    if (daemon == state.own_daemon || !state.has_received_live_daemons)
        return true;
    auto const found = std::ranges::lower_bound(state.live_daemons, daemon.id,
                                                {}, &daemon_ref::id);
    return found != state.live_daemons.end() && *found == daemon;
}

void send_refusal(claim_job const& job, error_kind kind,
                  std::string_view detail, actions& out)
{
    claim_result result;
    result.id = job.request.id;
    result.kind = kind;
    result.detail = detail;
    out.results.push_back(std::move(result));
    out.log.push_back(event_line(event::claim_refused)
                          .field("request", to_string(job.request.id))
                          .field("kind", error_response_for(kind).name)
                          .field("detail", detail));
}

void send_replay(claim_job const& job, work_result const& recorded,
                 actions& out)
{
    claim_result result;
    result.id = job.request.id;
    result.is_replay = true;
    result.recorded = recorded;
    out.results.push_back(std::move(result));
    log_claim(event::claim_replayed, job, "", out);
}

void finish_job(claims_state& state, claim_job& job, time_point now, actions&)
{
    if (!job.has_uncertain_write)
        return erase_job(state, job);
    job.phase = job_phase::removing;
    job.retries = 0;
    job.pending_call = 0;
    schedule_retry(state, job, now);
}

void erase_job(claims_state& state, claim_job& job)
{
    std::uint64_t const ticket = job.ticket;
    state.job_by_key.erase(job.store_key);
    state.jobs.erase(ticket);
}

void log_claim(event event_id, claim_job const& job, std::string_view detail,
               actions& out)
{
    out.log.push_back(event_line(event_id)
                          .field("request", to_string(job.request.id))
                          .field("claim", job.own_row.id)
                          .field("epoch", job.own_row.epoch)
                          .field("detail", detail));
}

} // namespace gooseberrycove::claims
