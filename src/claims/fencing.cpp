#include "claims/job.hpp"

#include <algorithm>

namespace gooseberrycove::claims
{

namespace
{

void send_fences(state const& s, job& j, time_point now, actions& out)
{
    j.fences_sent = now;
    for (fence_wait const& wait : j.fences)
    {
        if (wait.answer)
            continue;
        fence what{j.fenced_claim, wait.home.daemon, s.self, s.address};
        out.fences.push_back({wait.home.address, std::move(what)});
    }
}

bool has_answer(fence_wait const& wait)
{
    return wait.answer && wait.answer->state == fence_state::finished &&
           wait.answer->result.kind == error_kind::none &&
           wait.answer->result.run_outcome == outcome::ran;
}

/// The home will not run the claim from now on, and has not run it before.
bool is_fenced(fence_wait const& wait)
{
    if (!wait.answer)
        return false;
    return wait.answer->state == fence_state::fenced ||
           (wait.answer->state == fence_state::finished &&
            wait.answer->result.run_outcome == outcome::not_run);
}

/// Whether there is nothing more to wait for.
bool is_complete(state const& s, job const& j, time_point now)
{
    return now >= j.fences_started + s.limits.fence_wait ||
           std::ranges::all_of(
               j.fences, [&](fence_wait const& wait)
               { return wait.answer || !is_live(s, wait.home.daemon); });
}

void record_found(state& s, job& j, claim_row const& row,
                  work_result const& result, time_point now, actions& out)
{
    claim_row done = row;
    done.done = true;
    done.answer = result;
    j.mine = std::move(done);
    j.step = phase::recording;
    settle(s, j, now, out);
}

/// Decides about a claim whose claimant is gone.
void decide_takeover(state& s, job& j, time_point now, actions& out)
{
    auto const found = std::ranges::find_if(j.fences, has_answer);
    if (found != j.fences.end())
    {
        work_result const result = found->answer->result;
        log_claim(event::claim_settled, j, "a home had the answer", out);
        replay(j, result, out);
        return record_found(s, j, j.found, result, now, out);
    }
    if (std::ranges::all_of(j.fences, is_fenced))
    {
        log_claim(event::claim_fenced, j, "takes over", out);
        return write_raise(s, j, now, out);
    }
    answer(j, error_kind::outcome_unknown,
           "a home of the first request is gone or has no answer", out);
    finish(s, j, now, out);
}

/// Decides whether "not run" may be told while the row is still there.
void decide_release(state& s, job& j, time_point now, actions& out)
{
    auto const found = std::ranges::find_if(j.fences, has_answer);
    bool const fenced = std::ranges::all_of(j.fences, is_fenced);
    out.released.push_back({j.what.id, fenced});
    j.answered = true;
    log_claim(event::claim_fenced, j, fenced ? "not run" : "unknown", out);
    if (found == j.fences.end())
        return j.fences.clear();
    // The home's result contradicts its "not run"; what ran is recorded.
    work_result const result = found->answer->result;
    j.fences.clear();
    record_found(s, j, j.mine, result, now, out);
}

} // namespace

void start_fences(state const& s, job& j, claim_row const& row, time_point now,
                  actions& out)
{
    j.fenced_claim = {row.id, row.epoch};
    j.fences.clear();
    for (claim_home const& home : row.homes)
        j.fences.push_back({home, std::nullopt});
    j.fences_started = now;
    send_fences(s, j, now, out);
}

void check_fences(state& s, job& j, time_point now, actions& out)
{
    if (j.fences.empty() || j.answered)
        return;
    if (!is_complete(s, j, now))
    {
        if (now >= j.fences_sent + s.limits.fence_repeat)
            send_fences(s, j, now, out);
        return;
    }
    if (j.step == phase::fencing)
        return decide_takeover(s, j, now, out);
    if (j.step == phase::releasing)
        decide_release(s, j, now, out);
}

void on_fence_answer(state& s, fence_response const& what, time_point now,
                     actions& out)
{
    std::vector<std::uint64_t> asking;
    for (auto& [ticket, j] : s.jobs)
    {
        if (j.fenced_claim.id != what.claim.id ||
            j.fenced_claim.epoch != what.claim.epoch)
            continue;
        for (fence_wait& wait : j.fences)
        {
            if (wait.home.daemon == what.home)
                wait.answer = what;
        }
        asking.push_back(ticket);
    }
    for (std::uint64_t const ticket : asking)
        check_fences(s, s.jobs.at(ticket), now, out);
}

} // namespace gooseberrycove::claims
