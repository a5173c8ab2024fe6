#include "claims/job.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::claims
{

namespace
{

std::string make_unique_id(claims_state const& state, std::uint64_t number)
{
    return fmt::format("{:x}.{:x}.{:x}", state.own_daemon.id,
                       state.own_daemon.incarnation, number);
}

/// Sets the job's row to a new claim of this daemon.
void reset_own_row(claims_state& state, claim_job& job)
{
    job.own_row = claim_row{};
    job.own_row.id = job.own_row.grant =
        make_unique_id(state, call_number(state, job.ticket));
    job.own_row.body_hash = job.request.body_hash;
    job.own_row.homes = job.request.homes;
    job.own_row.claimant = state.own_daemon;
}

bool is_too_late(claims_state const& state, claim_job const& job,
                 time_point now)
{
    return now >= job.request.deadline ||
           now >= job.started + state.limits.claim_timeout;
}

/// Refuses a claim that the store did not confirm. The refusal is "not run"
/// only when the row held no other claim.
void abandon(claims_state& state, claim_job& job, time_point now, actions& out)
{
    send_refusal(job,
                 job.has_seen_other_claim ? error_kind::outcome_unknown
                                          : error_kind::store_unavailable,
                 "the table service did not confirm the claim", out);
    finish_job(state, job, now, out);
}

void grant_claim(claims_state& state, claim_job& job, std::uint64_t version,
                 time_point now, actions& out)
{
    job.row_version = version;
    if (is_paused(state, now))
    {
        job.has_uncertain_write = true;
        return abandon(state, job, now, out);
    }
    if (now >= job.request.deadline)
    {
        send_refusal(job, error_kind::deadline_unmet,
                     "the deadline passed before the claim was granted", out);
        job.has_uncertain_write = true;
        return finish_job(state, job, now, out);
    }
    job.phase = job_phase::running;
    job.granted_restores = state.restores;
    job.own_row.era = state.era.era;
    job.own_row.granted_version = version;
    job.has_uncertain_write = false;
    job.retries = 0;
    claim_result result;
    result.id = job.request.id;
    result.claim = {job.own_row.id, job.own_row.epoch};
    result.homes = job.request.homes;
    out.results.push_back(std::move(result));
    log_claim(event::claim_taken, job, "", out);
}

void evaluate_row(claims_state& state, claim_job& job, store::row const& row,
                  time_point now, actions& out)
{
    std::optional<claim_row> const found = decode_row(row.value);
    if (!found)
    {
        send_refusal(job, error_kind::outcome_unknown,
                     "the claim row cannot be decoded", out);
        return finish_job(state, job, now, out);
    }
    if (found->grant == job.own_row.grant)
        return grant_claim(state, job, row.version, now, out);
    if (job.own_row.epoch > 1 && row.version == job.row_version)
        return is_too_late(state, job, now)
                   ? abandon(state, job, now, out)
                   : write_takeover(state, job, now, out);
    job.has_seen_other_claim = true;
    if (found->body_hash != job.request.body_hash)
    {
        send_refusal(job, error_kind::key_reused,
                     "the key was used with another request", out);
        return finish_job(state, job, now, out);
    }
    if (found->is_done)
    {
        send_replay(job, found->result, out);
        return finish_job(state, job, now, out);
    }
    // A row of this run of the daemon without a job is left over from an
    // abandoned claim.
    if (found->claimant != state.own_daemon && is_live(state, found->claimant))
    {
        send_refusal(job, error_kind::in_progress, "", out);
        return finish_job(state, job, now, out);
    }
    // A takeover of this claim may be lost until its daemon writes it again.
    if (is_paused(state, now))
        return abandon(state, job, now, out);
    job.fenced_row = *found;
    job.row_version = row.version;
    job.phase = job_phase::fencing;
    start_fencing(state, job, *found, now, out);
    check_fences(state, job, now, out);
}

void start_read_back(claims_state& state, claim_job& job, time_point now,
                     actions& out)
{
    job.phase = job_phase::reading;
    read_row(state, job, now, out);
}

void on_write_reply(claims_state& state, claim_job& job,
                    store::reply const& reply, time_point now, actions& out)
{
    switch (reply.result)
    {
    case store::status::ok:
        return grant_claim(state, job,
                           reply.rows.empty() ? 0 : reply.rows.front().version,
                           now, out);
    case store::status::condition_failed:
        if (reply.rows.empty() || reply.rows.front().version == 0)
            return start_read_back(state, job, now, out);
        return evaluate_row(state, job, reply.rows.front(), now, out);
    case store::status::refused:
        return abandon(state, job, now, out);
    case store::status::not_found:
    case store::status::history_lost:
    case store::status::unknown:
        break;
    }
    job.has_uncertain_write = true;
    start_read_back(state, job, now, out);
}

void on_read_reply(claims_state& state, claim_job& job,
                   store::reply const& reply, time_point now, actions& out)
{
    if (reply.result == store::status::ok && !reply.rows.empty())
        return evaluate_row(state, job, reply.rows.front(), now, out);
    if (is_too_late(state, job, now) ||
        (reply.result == store::status::not_found && is_paused(state, now)))
        return abandon(state, job, now, out);
    if (reply.result != store::status::not_found)
        return schedule_retry(state, job, now);
    // After a takeover, the row is absent only when it was released, so a new
    // claim is made. For a first insert the grant is kept, because the earlier
    // write may take effect late.
    if (job.own_row.epoch > 1)
        reset_own_row(state, job);
    insert_row(state, job, now, out);
}

/// Replies to a request for a key that already has a job at this daemon.
void handle_duplicate_request(claim_job const& first,
                              claim_request const& request, actions& out)
{
    claim_job second;
    second.request = request;
    second.own_row = first.own_row;
    if (first.request.body_hash != request.body_hash)
        return send_refusal(second, error_kind::key_reused,
                            "the key was used with another request", out);
    if (first.phase == job_phase::recording)
        return send_replay(second, first.own_row.result, out);
    if (first.phase == job_phase::abandoning)
        return send_refusal(
            second, error_kind::outcome_unknown,
            "the first request with this key has no known outcome", out);
    send_refusal(second, error_kind::in_progress, "", out);
}

} // namespace

void insert_row(claims_state& state, claim_job& job, time_point now,
                actions& out)
{
    // Recorded responses are replayed meanwhile.
    if (is_paused(state, now))
        return start_read_back(state, job, now, out);
    job.phase = job_phase::inserting;
    write_row(state, job, 0, now, out);
}

void write_takeover(claims_state& state, claim_job& job, time_point now,
                    actions& out)
{
    if (is_paused(state, now))
        return abandon(state, job, now, out);
    if (job.own_row.id != job.fenced_row.id ||
        job.own_row.epoch != job.fenced_row.epoch + 1)
    {
        reset_own_row(state, job);
        job.own_row.id = job.fenced_row.id;
        job.own_row.epoch = job.fenced_row.epoch + 1;
    }
    job.phase = job_phase::taking_over;
    write_row(state, job, job.row_version, now, out);
}

void on_claim_reply(claims_state& state, claim_job& job,
                    store::reply const& reply, time_point now, actions& out)
{
    if (job.phase == job_phase::reading)
        return on_read_reply(state, job, reply, now, out);
    on_write_reply(state, job, reply, now, out);
}

void on_claim_request(claims_state& state, claim_request const& request,
                      time_point now, actions& out)
{
    if (is_minted(request.key))
        return claim_minted(state, request, out);
    claim_job new_job;
    new_job.request = request;
    if (request.key.empty() ||
        request.key.size() > state.limits.max_key_length ||
        request.homes.empty())
        return send_refusal(new_job,
                            request.homes.empty() ? error_kind::no_server
                                                  : error_kind::bad_request,
                            "Idempotency-Key must have 1 to 512 characters",
                            out);
    new_job.store_key = row_key(request.account, request.key);
    if (auto const found = state.job_by_key.find(new_job.store_key);
        found != state.job_by_key.end())
        return handle_duplicate_request(state.jobs.at(found->second), request,
                                        out);
    new_job.ticket = state.next_ticket++;
    new_job.started = now;
    state.job_by_key[new_job.store_key] = new_job.ticket;
    claim_job& job =
        state.jobs.emplace(new_job.ticket, std::move(new_job)).first->second;
    reset_own_row(state, job);
    insert_row(state, job, now, out);
}

} // namespace gooseberrycove::claims
