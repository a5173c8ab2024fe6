#include "claims/job.hpp"

namespace gooseberrycove::claims
{

namespace
{

void report_release(claim_job& job, bool is_confirmed, actions& out)
{
    if (job.is_release_reported)
        return;
    job.is_release_reported = true;
    out.released.push_back({job.request.id, is_confirmed});
    log_claim(event::claim_released, job, is_confirmed ? "not run" : "unknown",
              out);
}

void delete_row(claims_state& state, claim_job& job, time_point now,
                actions& out)
{
    store::transaction write;
    write.conditions.push_back({job.store_key, job.row_version});
    write.deletes.push_back(job.store_key);
    call_store(state, job, std::move(write), now, out);
}

/// Reports the end of a job whose row has its final content, and removes the
/// job.
void finish_settled(claims_state& state, claim_job& job, time_point now,
                    actions& out)
{
    // A restored store may have lost a takeover of this claim, so only the
    // homes can confirm that it did not run.
    if (job.phase == job_phase::releasing && !job.is_release_reported &&
        is_of_earlier_era(state, job))
    {
        if (job.fences.empty())
            start_fencing(state, job, job.own_row, now, out);
        return schedule_retry(state, job, now);
    }
    if (job.phase == job_phase::recording || job.phase == job_phase::abandoning)
        keep_settled_row(state, job, now);
    if (job.phase == job_phase::releasing)
        report_release(job, true, out);
    if (job.phase == job_phase::recording)
        log_claim(event::claim_recorded, job, "", out);
    erase_job(state, job);
}

void schedule_cleanup_read(claims_state& state, claim_job& job, time_point now)
{
    if (job.retries >= state.limits.max_cleanup_reads)
        return erase_job(state, job);
    schedule_retry(state, job, now);
}

void on_row_found(claims_state& state, claim_job& job, store::row const& row,
                  time_point now, actions& out)
{
    std::optional<claim_row> const found = decode_row(row.value);
    bool const has_own_grant = found && found->grant == job.own_row.grant;
    bool const is_own =
        has_own_grant ||
        (found && is_granted_after(state, job, *found, row.version));
    if (job.phase == job_phase::recording && found &&
        found->id == job.own_row.id && found->is_done)
        return finish_settled(state, job, now, out);
    if (job.phase == job_phase::abandoning && has_own_grant &&
        found->claimant.id == 0)
        return finish_settled(state, job, now, out);
    if (is_own)
    {
        job.row_version = row.version;
        if (job.phase == job_phase::removing)
            return delete_row(state, job, now, out);
        return settle(state, job, now, out);
    }
    if (found && is_still_pending(state, job, *found, now))
        return schedule_restore_retry(job, now);
    // Another daemon took the claim over, or the key has a new claim.
    if (job.phase == job_phase::removing)
        return schedule_cleanup_read(state, job, now);
    if (job.phase == job_phase::releasing)
        report_release(job, false, out);
    log_claim(event::claim_settled, job, "the row has another holder", out);
    erase_job(state, job);
}

void on_row_absent(claims_state& state, claim_job& job, time_point now,
                   actions& out)
{
    bool const is_lost =
        job.phase == job_phase::abandoning && is_of_earlier_era(state, job);
    if (job.phase == job_phase::recording || is_lost)
        return write_row(state, job, 0, now, out);
    if (job.phase == job_phase::removing)
        return schedule_cleanup_read(state, job, now);
    finish_settled(state, job, now, out);
}

/// The call was refused, or its effect is unknown.
void on_call_failed(claims_state& state, claim_job& job, store::status result,
                    time_point now, actions& out)
{
    if (result == store::status::unknown)
        job.row_version = 0;
    // The homes can confirm "not run" while the store is unavailable.
    if (job.phase == job_phase::releasing && !job.is_release_reported &&
        job.fences.empty())
        start_fencing(state, job, job.own_row, now, out);
    schedule_retry(state, job, now);
}

} // namespace

void settle(claims_state& state, claim_job& job, time_point now, actions& out)
{
    if (job.row_version == 0 || job.phase == job_phase::removing)
        return read_row(state, job, now, out);
    if (job.phase == job_phase::releasing)
        return delete_row(state, job, now, out);
    write_row(state, job, job.row_version, now, out);
}

void on_settle_reply(claims_state& state, claim_job& job,
                     store::reply const& reply, time_point now, actions& out)
{
    bool const has_row = !reply.rows.empty() && reply.rows.front().version != 0;
    switch (reply.result)
    {
    case store::status::ok:
        if (!job.is_read_call)
            return finish_settled(state, job, now, out);
        return has_row ? on_row_found(state, job, reply.rows.front(), now, out)
                       : on_row_absent(state, job, now, out);
    case store::status::condition_failed:
        if (has_row)
            return on_row_found(state, job, reply.rows.front(), now, out);
        return reply.rows.empty() ? read_row(state, job, now, out)
                                  : on_row_absent(state, job, now, out);
    case store::status::not_found:
    case store::status::history_lost:
        return on_row_absent(state, job, now, out);
    case store::status::refused:
    case store::status::unknown:
        return on_call_failed(state, job, reply.result, now, out);
    }
}

void on_claim_end(claims_state& state, claim_end const& end, time_point now,
                  actions& out)
{
    if (is_minted(end.key))
        return end_minted(state, end, out);
    auto const found = state.job_by_key.find(row_key(end.account, end.key));
    claim_job* const job = found == state.job_by_key.end()
                               ? nullptr
                               : &state.jobs.at(found->second);
    if (job == nullptr || job->phase != job_phase::running ||
        job->own_row.id != end.claim.id ||
        job->own_row.epoch != end.claim.epoch)
    {
        if (end.is_not_run)
            out.released.push_back({end.id, false});
        return;
    }
    job->request.id = end.id;
    if (end.is_not_run)
    {
        job->phase = job_phase::releasing;
    }
    else if (end.result.kind == error_kind::none &&
             end.result.run_outcome == outcome::ran)
    {
        job->phase = job_phase::recording;
        job->own_row.is_done = true;
        job->own_row.result = end.result;
    }
    else
    {
        job->phase = job_phase::abandoning;
        job->own_row.claimant = {};
    }
    settle(state, *job, now, out);
}

} // namespace gooseberrycove::claims
