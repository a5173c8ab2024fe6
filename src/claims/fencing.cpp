#include "claims/job.hpp"

#include <algorithm>

namespace gooseberrycove::claims
{

namespace
{

void send_fences(claims_state const& state, claim_job& job, time_point now,
                 actions& out)
{
    job.fences_last_sent = now;
    for (pending_fence const& pending : job.fences)
    {
        if (pending.response)
            continue;
        fence request{job.fenced_claim, pending.home.daemon, state.own_daemon,
                      state.address};
        out.fences.push_back({pending.home.address, std::move(request)});
    }
}

bool has_result(pending_fence const& pending)
{
    return pending.response &&
           pending.response->state == fence_state::finished &&
           pending.response->result.kind == error_kind::none &&
           pending.response->result.run_outcome == outcome::ran;
}

/// Whether the home has not run the claim and will not run it.
bool is_fenced(pending_fence const& pending)
{
    if (!pending.response)
        return false;
    return pending.response->state == fence_state::fenced ||
           (pending.response->state == fence_state::finished &&
            pending.response->result.run_outcome == outcome::not_run);
}

/// Whether each home has replied or is gone, or the fence timeout has passed.
bool is_fencing_complete(claims_state const& state, claim_job const& job,
                         time_point now)
{
    return now >= job.fencing_started + state.limits.fence_timeout ||
           std::ranges::all_of(job.fences,
                               [&](pending_fence const& pending) {
                                   return pending.response ||
                                          !is_live(state, pending.home.daemon);
                               });
}

void record_home_result(claims_state& state, claim_job& job,
                        claim_row const& row, work_result const& result,
                        time_point now, actions& out)
{
    claim_row finished_row = row;
    if (finished_row.granted_version == 0)
        finished_row.granted_version = job.row_version;
    finished_row.is_done = true;
    finished_row.result = result;
    job.own_row = std::move(finished_row);
    job.phase = job_phase::recording;
    settle(state, job, now, out);
}

/// Replays, takes over or refuses a claim whose claimant is gone.
void decide_takeover(claims_state& state, claim_job& job, time_point now,
                     actions& out)
{
    auto const found = std::ranges::find_if(job.fences, has_result);
    if (found != job.fences.end())
    {
        work_result const result = found->response->result;
        log_claim(event::claim_settled, job, "a home had the answer", out);
        send_replay(job, result, out);
        return record_home_result(state, job, job.fenced_row, result, now, out);
    }
    if (std::ranges::all_of(job.fences, is_fenced))
    {
        log_claim(event::claim_fenced, job, "takes over", out);
        return write_takeover(state, job, now, out);
    }
    send_refusal(job, error_kind::outcome_unknown,
                 "a home of the first request is gone or has no result", out);
    finish_job(state, job, now, out);
}

/// Ends the wait for a release while the row is not yet deleted: reports "not
/// run" when all homes are fenced, else unknown.
void decide_release(claims_state& state, claim_job& job, time_point now,
                    actions& out)
{
    auto const found = std::ranges::find_if(job.fences, has_result);
    bool const all_fenced = std::ranges::all_of(job.fences, is_fenced);
    out.released.push_back({job.request.id, all_fenced});
    job.is_release_reported = true;
    log_claim(event::claim_fenced, job, all_fenced ? "not run" : "unknown",
              out);
    if (found == job.fences.end())
        return job.fences.clear();
    // The home first reported "not run" and now has a result, so the request
    // ran and its result is recorded.
    work_result const result = found->response->result;
    job.fences.clear();
    record_home_result(state, job, job.own_row, result, now, out);
}

} // namespace

void start_fencing(claims_state const& state, claim_job& job,
                   claim_row const& row, time_point now, actions& out)
{
    job.fenced_claim = {row.id, row.epoch};
    job.fences.clear();
    for (claim_home const& home : row.homes)
        job.fences.push_back({home, std::nullopt});
    job.fencing_started = now;
    send_fences(state, job, now, out);
}

void check_fences(claims_state& state, claim_job& job, time_point now,
                  actions& out)
{
    if (job.fences.empty() || job.is_release_reported)
        return;
    if (!is_fencing_complete(state, job, now))
    {
        if (now >= job.fences_last_sent + state.limits.fence_resend_period)
            send_fences(state, job, now, out);
        return;
    }
    if (job.phase == job_phase::fencing)
        return decide_takeover(state, job, now, out);
    if (job.phase == job_phase::releasing)
        decide_release(state, job, now, out);
}

void on_fence_response(claims_state& state, fence_response const& response,
                       time_point now, actions& out)
{
    std::vector<std::uint64_t> affected_jobs;
    for (auto& [ticket, job] : state.jobs)
    {
        if (job.fenced_claim.id != response.claim.id ||
            job.fenced_claim.epoch != response.claim.epoch)
            continue;
        for (pending_fence& pending : job.fences)
        {
            if (pending.home.daemon == response.home)
                pending.response = response;
        }
        affected_jobs.push_back(ticket);
    }
    for (std::uint64_t const ticket : affected_jobs)
        check_fences(state, state.jobs.at(ticket), now, out);
}

} // namespace gooseberrycove::claims
