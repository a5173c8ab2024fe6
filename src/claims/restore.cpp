#include "claims/job.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrycove::claims
{

namespace
{

/// Spreads the reads over time; a tick is due every 100 ms.
constexpr std::size_t max_restores_per_tick = 50;

constexpr duration restore_retry_interval{500'000};

std::size_t size_of(settled_row const& settled)
{
    return settled.store_key.size() + settled.row.result.body.size();
}

void drop_oldest_settled_row(claims_state& state)
{
    state.settled_bytes -= size_of(state.settled_rows.front());
    state.settled_rows.pop_front();
}

/// Makes a job that writes the row again unless the store still has it.
void restore_settled_row(claims_state& state, settled_row&& settled,
                         time_point now)
{
    claim_job job;
    job.ticket = state.next_ticket++;
    job.phase =
        settled.row.is_done ? job_phase::recording : job_phase::abandoning;
    job.store_key = std::move(settled.store_key);
    job.request.body_hash = settled.row.body_hash;
    job.own_row = std::move(settled.row);
    // Different from the present value, because the claim is an earlier one.
    job.granted_restores = state.restores - 1;
    job.is_retry_scheduled = true;
    job.retry_at = now;
    state.job_by_key[job.store_key] = job.ticket;
    state.jobs.emplace(job.ticket, std::move(job));
}

void finish_restore(claim_job& job, std::uint64_t version)
{
    job.row_version = version;
    job.must_restore = false;
    job.retries = 0;
}

void on_row_found(claims_state& state, claim_job& job, store::row const& row,
                  time_point now, actions& out)
{
    std::optional<claim_row> const found = decode_row(row.value);
    if (found && found->grant == job.own_row.grant)
        return finish_restore(job, row.version);
    if (found && is_granted_after(state, job, *found, row.version))
        return write_row(state, job, row.version, now, out);
    if (found && is_still_pending(state, job, *found, now))
        return schedule_restore_retry(job, now);
    log_claim(event::claim_settled, job, "the row has another holder", out);
    finish_restore(job, 0);
}

} // namespace

bool is_paused(claims_state const& state, time_point now)
{
    return now < state.claims_resume_at;
}

bool is_of_earlier_era(claims_state const& state, claim_job const& job)
{
    return job.granted_restores != state.restores;
}

bool is_granted_after(claims_state const& state, claim_job const& job,
                      claim_row const& found, std::uint64_t found_version)
{
    // Versions increase within one era, and the copy keeps those of its rows.
    auto const position_of = [](claim_row const& row, std::uint64_t version)
    {
        return std::pair(row.era,
                         row.granted_version ? row.granted_version : version);
    };
    bool const may_replace = is_of_earlier_era(state, job) &&
                             job.own_row.granted_version > 0 &&
                             job.phase != job_phase::removing && !found.is_done;
    if (!may_replace)
        return false;
    // Nothing runs after a recorded response.
    if (job.phase == job_phase::recording)
        return true;
    // Only a takeover follows a claim with an unknown outcome. Another claim of
    // the same era that is held was written by a daemon that did not know of
    // the restore, or its holder writes it again.
    if (job.phase == job_phase::abandoning && found.id != job.own_row.id &&
        found.claimant.id != 0 && found.era <= job.own_row.era)
        return true;
    // Another claim of this daemon has no job any more, so it did not run.
    return found.claimant == state.own_daemon ||
           position_of(job.own_row, 0) > position_of(found, found_version);
}

bool is_still_pending(claims_state const& state, claim_job const& job,
                      claim_row const& found, time_point now)
{
    return is_paused(state, now) && is_of_earlier_era(state, job) &&
           job.phase != job_phase::removing && !found.is_done;
}

void schedule_restore_retry(claim_job& job, time_point now)
{
    job.is_retry_scheduled = true;
    job.retry_at = now + restore_retry_interval;
}

void on_new_store_era(claims_state& state, time_point now, actions& out)
{
    ++state.restores;
    state.claims_resume_at = now + state.limits.restore_pause;
    state.page_after_key.clear();
    state.pending_page_call = 0;
    for (auto& [ticket, job] : state.jobs)
    {
        job.row_version = 0;
        if (job.phase != job_phase::running)
            continue;
        job.must_restore = true;
        job.is_retry_scheduled = true;
        job.retry_at = now;
    }
    out.log.push_back(event_line(event::store_restored)
                          .field("duty", "claims")
                          .field("era", state.era.era));
    for (settled_row& settled : state.settled_rows)
    {
        if (settled.keep_until > now)
            state.rows_to_restore.push_back(std::move(settled));
    }
    state.settled_rows.clear();
    state.settled_bytes = 0;
}

void restore_rows(claims_state& state, time_point now)
{
    std::size_t const count =
        std::min(state.rows_to_restore.size(), max_restores_per_tick);
    for (std::size_t i = 0; i < count; ++i)
    {
        settled_row settled = std::move(state.rows_to_restore.front());
        state.rows_to_restore.pop_front();
        // The reads that look for a late write of a claim that was not granted
        // may take longer than the pause.
        auto const found = state.job_by_key.find(settled.store_key);
        if (found != state.job_by_key.end() &&
            state.jobs.at(found->second).phase == job_phase::removing)
            erase_job(state, state.jobs.at(found->second));
        // A request with the same key waits for the store. It is not granted
        // during the pause.
        if (state.job_by_key.contains(settled.store_key))
            state.rows_to_restore.push_back(std::move(settled));
        else
            restore_settled_row(state, std::move(settled), now);
    }
}

void on_store_era(claims_state& state, store_era const& seen, time_point now,
                  actions& out)
{
    if (seen.is_restored)
        state.era.has_reply = true;
    store::reply reply;
    reply.era = seen.era;
    if (store::observe_era(state.era, reply) == store::era_change::newer)
        on_new_store_era(state, now, out);
}

void keep_settled_row(claims_state& state, claim_job const& job, time_point now)
{
    if (state.era.era == 0)
        return;
    state.settled_rows.push_back(
        {job.store_key, job.own_row, now + state.limits.settled_retention});
    state.settled_bytes += size_of(state.settled_rows.back());
    while (!state.settled_rows.empty() &&
           (state.settled_rows.front().keep_until <= now ||
            state.settled_bytes > state.limits.max_settled_bytes))
        drop_oldest_settled_row(state);
}

void on_restore_reply(claims_state& state, claim_job& job,
                      store::reply const& reply, time_point now, actions& out)
{
    bool const has_row = !reply.rows.empty() && reply.rows.front().version != 0;
    switch (reply.result)
    {
    case store::status::ok:
        if (!has_row)
            return write_row(state, job, 0, now, out);
        if (!job.is_read_call)
            return finish_restore(job, reply.rows.front().version);
        return on_row_found(state, job, reply.rows.front(), now, out);
    case store::status::condition_failed:
        if (has_row)
            return on_row_found(state, job, reply.rows.front(), now, out);
        return schedule_retry(state, job, now);
    case store::status::not_found:
        return write_row(state, job, 0, now, out);
    case store::status::history_lost:
    case store::status::refused:
    case store::status::unknown:
        return schedule_retry(state, job, now);
    }
}

} // namespace gooseberrycove::claims
