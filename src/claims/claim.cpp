#include "claims/job.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::claims
{

namespace
{

std::string unique_text(state const& s, std::uint64_t number)
{
    return fmt::format("{:x}.{:x}.{:x}", s.self.id, s.self.incarnation, number);
}

/// The row of a claim that nobody holds.
void prepare_insert(state& s, job& j)
{
    j.mine = claim_row{};
    j.mine.id = j.mine.grant = unique_text(s, call_number(s, j.ticket));
    j.mine.body_hash = j.what.body_hash;
    j.mine.homes = j.what.homes;
    j.mine.claimant = s.self;
}

bool too_late(state const& s, job const& j, time_point now)
{
    return now >= j.what.deadline || now >= j.started + s.limits.claim_wait;
}

/// Ends a claim that the store does not let through. "Not run" is only said
/// when no other claim of the key was seen.
void give_up(state& s, job& j, time_point now, actions& out)
{
    answer(j,
           j.foreign ? error_kind::outcome_unknown
                     : error_kind::store_unavailable,
           "the table service did not settle the claim", out);
    finish(s, j, now, out);
}

void grant(state& s, job& j, std::uint64_t version, time_point now,
           actions& out)
{
    j.version = version;
    if (now >= j.what.deadline)
    {
        answer(j, error_kind::deadline_unmet, "the claim took too long", out);
        j.uncertain = true;
        return finish(s, j, now, out);
    }
    j.step = phase::running;
    j.uncertain = false;
    j.tries = 0;
    claim_result result;
    result.id = j.what.id;
    result.claim = {j.mine.id, j.mine.epoch};
    result.homes = j.what.homes;
    out.results.push_back(std::move(result));
    log_claim(event::claim_taken, j, "", out);
}

void examine(state& s, job& j, store::row const& row, time_point now,
             actions& out)
{
    std::optional<claim_row> const found = decode_row(row.value);
    if (!found)
    {
        answer(j, error_kind::outcome_unknown, "the claim row is damaged", out);
        return finish(s, j, now, out);
    }
    if (found->grant == j.mine.grant)
        return grant(s, j, row.version, now, out);
    if (j.mine.epoch > 1 && row.version == j.version)
        return too_late(s, j, now) ? give_up(s, j, now, out)
                                   : write_raise(s, j, now, out);
    j.foreign = true;
    if (found->body_hash != j.what.body_hash)
    {
        answer(j, error_kind::key_reused,
               "the key was used with another request", out);
        return finish(s, j, now, out);
    }
    if (found->done)
    {
        replay(j, found->answer, out);
        return finish(s, j, now, out);
    }
    // A row of this run that no job holds is left from a claim given up.
    if (found->claimant != s.self && is_live(s, found->claimant))
    {
        answer(j, error_kind::in_progress, "", out);
        return finish(s, j, now, out);
    }
    j.found = *found;
    j.version = row.version;
    j.step = phase::fencing;
    start_fences(s, j, *found, now, out);
    check_fences(s, j, now, out);
}

void read_back(state& s, job& j, time_point now, actions& out)
{
    j.step = phase::reading;
    read_row(s, j, now, out);
}

void on_write_reply(state& s, job& j, store::reply const& what, time_point now,
                    actions& out)
{
    switch (what.result)
    {
    case store::status::ok:
        return grant(s, j, what.rows.empty() ? 0 : what.rows.front().version,
                     now, out);
    case store::status::condition_failed:
        if (what.rows.empty() || what.rows.front().version == 0)
            return read_back(s, j, now, out);
        return examine(s, j, what.rows.front(), now, out);
    case store::status::refused:
        return give_up(s, j, now, out);
    case store::status::not_found:
    case store::status::history_lost:
    case store::status::unknown:
        break;
    }
    j.uncertain = true;
    read_back(s, j, now, out);
}

void on_read_reply(state& s, job& j, store::reply const& what, time_point now,
                   actions& out)
{
    if (what.result == store::status::ok && !what.rows.empty())
        return examine(s, j, what.rows.front(), now, out);
    if (too_late(s, j, now))
        return give_up(s, j, now, out);
    if (what.result != store::status::not_found)
        return schedule_retry(s, j, now);
    // A row that was taken over is only absent after it was released. The
    // grant of an earlier insert is kept, because that write may be late.
    if (j.mine.epoch > 1)
        prepare_insert(s, j);
    insert_row(s, j, now, out);
}

/// A request for a key that this daemon is working on already.
void answer_second(job const& first, claim_request const& what, actions& out)
{
    job second;
    second.what = what;
    second.mine = first.mine;
    if (first.what.body_hash != what.body_hash)
        return answer(second, error_kind::key_reused,
                      "the key was used with another request", out);
    if (first.step == phase::recording)
        return replay(second, first.mine.answer, out);
    if (first.step == phase::unsettling)
        return answer(second, error_kind::outcome_unknown,
                      "the first request with this key has no known outcome",
                      out);
    answer(second, error_kind::in_progress, "", out);
}

} // namespace

void insert_row(state& s, job& j, time_point now, actions& out)
{
    j.step = phase::inserting;
    write_row(s, j, 0, now, out);
}

void write_raise(state& s, job& j, time_point now, actions& out)
{
    if (j.mine.id != j.found.id || j.mine.epoch != j.found.epoch + 1)
    {
        prepare_insert(s, j);
        j.mine.id = j.found.id;
        j.mine.epoch = j.found.epoch + 1;
    }
    j.step = phase::raising;
    write_row(s, j, j.version, now, out);
}

void on_claim_reply(state& s, job& j, store::reply const& what, time_point now,
                    actions& out)
{
    if (j.step == phase::reading)
        return on_read_reply(s, j, what, now, out);
    on_write_reply(s, j, what, now, out);
}

void on_claim_request(state& s, claim_request const& what, time_point now,
                      actions& out)
{
    if (is_minted(what.key))
        return claim_minted(s, what, out);
    job fresh;
    fresh.what = what;
    if (what.key.empty() || what.key.size() > s.limits.longest_key ||
        what.homes.empty())
        return answer(fresh,
                      what.homes.empty() ? error_kind::no_server
                                         : error_kind::bad_request,
                      "Idempotency-Key must have 1 to 512 characters", out);
    fresh.key = row_key(what.account, what.key);
    if (auto const held = s.job_of_key.find(fresh.key);
        held != s.job_of_key.end())
        return answer_second(s.jobs.at(held->second), what, out);
    fresh.ticket = s.next_ticket++;
    fresh.started = now;
    s.job_of_key[fresh.key] = fresh.ticket;
    job& j = s.jobs.emplace(fresh.ticket, std::move(fresh)).first->second;
    prepare_insert(s, j);
    insert_row(s, j, now, out);
}

} // namespace gooseberrycove::claims
