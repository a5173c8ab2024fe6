#include "claims/job.hpp"

#include <algorithm>

namespace gooseberrycove::claims
{

namespace
{

constexpr unsigned call_bits = 24;

} // namespace

std::uint64_t unix_time(state const& s, time_point now)
{
    auto const passed =
        std::chrono::duration_cast<std::chrono::seconds>(now - s.started);
    return s.unix_start + static_cast<std::uint64_t>(passed.count());
}

std::uint64_t call_number(state& s, std::uint64_t ticket)
{
    std::uint64_t const call = s.next_call++ & ((1U << call_bits) - 1);
    return (ticket << call_bits) | call;
}

std::uint64_t ticket_of(std::uint64_t number)
{
    return number >> call_bits;
}

void call_store(state& s, job& j, store::operation&& what, time_point now,
                actions& out)
{
    j.reads = std::holds_alternative<store::get_row>(what);
    store::request call;
    call.number = call_number(s, j.ticket);
    call.op = std::move(what);
    j.waiting = call.number;
    j.waiting_since = now;
    j.retry = false;
    out.store.push_back(std::move(call));
}

void read_row(state& s, job& j, time_point now, actions& out)
{
    call_store(s, j, store::get_row{j.key}, now, out);
}

void write_row(state& s, job& j, std::uint64_t version, time_point now,
               actions& out)
{
    j.mine.written = unix_time(s, now);
    store::transaction write;
    write.conditions.push_back({j.key, version});
    write.puts.push_back({j.key, encode_row(j.mine)});
    call_store(s, j, std::move(write), now, out);
}

void schedule_retry(state const& s, job& j, time_point now)
{
    int const doublings = std::min(j.tries, 10);
    duration const wait = std::min(s.limits.first_retry * (1 << doublings),
                                   s.limits.longest_retry);
    ++j.tries;
    j.retry = true;
    j.retry_at = now + wait;
}

bool is_live(state const& s, daemon_ref who)
{
    if (who.id == 0)
        return false;
    // Before members has told, nobody is taken for gone.
    if (who == s.self || !s.live_known)
        return true;
    auto const found =
        std::ranges::lower_bound(s.live, who.id, {}, &daemon_ref::id);
    return found != s.live.end() && *found == who;
}

void answer(job const& j, error_kind kind, std::string_view detail,
            actions& out)
{
    claim_result result;
    result.id = j.what.id;
    result.kind = kind;
    result.detail = detail;
    out.results.push_back(std::move(result));
    out.log.push_back(event_line(event::claim_refused)
                          .field("request", to_string(j.what.id))
                          .field("kind", error_response_for(kind).name)
                          .field("detail", detail));
}

void replay(job const& j, work_result const& recorded, actions& out)
{
    claim_result result;
    result.id = j.what.id;
    result.is_replay = true;
    result.recorded = recorded;
    out.results.push_back(std::move(result));
    log_claim(event::claim_replayed, j, "", out);
}

void finish(state& s, job& j, time_point now, actions&)
{
    if (!j.uncertain)
        return erase(s, j);
    j.step = phase::cleaning;
    j.tries = 0;
    j.waiting = 0;
    schedule_retry(s, j, now);
}

void erase(state& s, job& j)
{
    std::uint64_t const ticket = j.ticket;
    s.job_of_key.erase(j.key);
    s.jobs.erase(ticket);
}

void log_claim(event what, job const& j, std::string_view detail, actions& out)
{
    out.log.push_back(event_line(what)
                          .field("request", to_string(j.what.id))
                          .field("claim", j.mine.id)
                          .field("epoch", j.mine.epoch)
                          .field("detail", detail));
}

} // namespace gooseberrycove::claims
