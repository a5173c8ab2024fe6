#include "claims/job.hpp"

namespace gooseberrycove::claims
{

namespace
{

void release(job& j, bool confirmed, actions& out)
{
    if (j.answered)
        return;
    j.answered = true;
    out.released.push_back({j.what.id, confirmed});
    log_claim(event::claim_released, j, confirmed ? "not run" : "unknown", out);
}

void delete_row(state& s, job& j, time_point now, actions& out)
{
    store::transaction write;
    write.conditions.push_back({j.key, j.version});
    write.deletes.push_back(j.key);
    call_store(s, j, std::move(write), now, out);
}

/// The row is as this job wants it.
void settled(state& s, job& j, actions& out)
{
    if (j.step == phase::releasing)
        release(j, true, out);
    if (j.step == phase::recording)
        log_claim(event::claim_recorded, j, "", out);
    erase(s, j);
}

void look_later(state& s, job& j, time_point now)
{
    if (j.tries >= s.limits.cleanup_looks)
        return erase(s, j);
    schedule_retry(s, j, now);
}

void on_row(state& s, job& j, store::row const& row, time_point now,
            actions& out)
{
    std::optional<claim_row> const found = decode_row(row.value);
    bool const own = found && found->grant == j.mine.grant;
    if (j.step == phase::recording && found && found->id == j.mine.id &&
        found->done)
        return settled(s, j, out);
    if (j.step == phase::unsettling && own && found->claimant.id == 0)
        return settled(s, j, out);
    if (own)
    {
        j.version = row.version;
        if (j.step == phase::cleaning)
            return delete_row(s, j, now, out);
        return settle(s, j, now, out);
    }
    // A successor took the claim over, or the key is claimed anew.
    if (j.step == phase::cleaning)
        return look_later(s, j, now);
    if (j.step == phase::releasing)
        release(j, false, out);
    log_claim(event::claim_settled, j, "the row has another holder", out);
    erase(s, j);
}

void on_absent(state& s, job& j, time_point now, actions& out)
{
    if (j.step == phase::recording)
        return write_row(s, j, 0, now, out);
    if (j.step == phase::cleaning)
        return look_later(s, j, now);
    settled(s, j, out);
}

/// Nothing is known of the call's effect, or it was refused.
void on_no_result(state& s, job& j, store::status result, time_point now,
                  actions& out)
{
    if (result == store::status::unknown)
        j.version = 0;
    // The homes can confirm "not run" while the store cannot.
    if (j.step == phase::releasing && !j.answered && j.fences.empty())
        start_fences(s, j, j.mine, now, out);
    schedule_retry(s, j, now);
}

} // namespace

void settle(state& s, job& j, time_point now, actions& out)
{
    if (j.version == 0 || j.step == phase::cleaning)
        return read_row(s, j, now, out);
    if (j.step == phase::releasing)
        return delete_row(s, j, now, out);
    write_row(s, j, j.version, now, out);
}

void on_settle_reply(state& s, job& j, store::reply const& what, time_point now,
                     actions& out)
{
    bool const has_row = !what.rows.empty() && what.rows.front().version != 0;
    switch (what.result)
    {
    case store::status::ok:
        if (!j.reads)
            return settled(s, j, out);
        return has_row ? on_row(s, j, what.rows.front(), now, out)
                       : on_absent(s, j, now, out);
    case store::status::condition_failed:
        if (has_row)
            return on_row(s, j, what.rows.front(), now, out);
        return what.rows.empty() ? read_row(s, j, now, out)
                                 : on_absent(s, j, now, out);
    case store::status::not_found:
    case store::status::history_lost:
        return on_absent(s, j, now, out);
    case store::status::refused:
    case store::status::unknown:
        return on_no_result(s, j, what.result, now, out);
    }
}

void on_claim_end(state& s, claim_end const& what, time_point now, actions& out)
{
    if (is_minted(what.key))
        return end_minted(s, what, out);
    auto const held = s.job_of_key.find(row_key(what.account, what.key));
    job* const j =
        held == s.job_of_key.end() ? nullptr : &s.jobs.at(held->second);
    if (j == nullptr || j->step != phase::running ||
        j->mine.id != what.claim.id || j->mine.epoch != what.claim.epoch)
    {
        if (what.not_run)
            out.released.push_back({what.id, false});
        return;
    }
    j->what.id = what.id;
    if (what.not_run)
    {
        j->step = phase::releasing;
    }
    else if (what.result.kind == error_kind::none &&
             what.result.run_outcome == outcome::ran)
    {
        j->step = phase::recording;
        j->mine.done = true;
        j->mine.answer = what.result;
    }
    else
    {
        j->step = phase::unsettling;
        j->mine.claimant = {};
    }
    settle(s, *j, now, out);
}

} // namespace gooseberrycove::claims
