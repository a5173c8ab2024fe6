#include "finish.hpp"

#include "attempts.hpp"

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

/// An overtaken attempt that has waited this much longer than its service's
/// 95th percentile is evidence that its home does not answer.
constexpr int silence_factor = 4;
constexpr duration least_silence = std::chrono::milliseconds(100);

int knowledge(outcome value)
{
    switch (value)
    {
    case outcome::not_run:
        return 0;
    case outcome::unknown:
        return 1;
    case outcome::ran:
        break;
    }
    return 2;
}

void reply_once(request& what, error_kind kind, std::string_view detail,
                work_result&& result, actions& out)
{
    if (what.answered)
        return;
    what.answered = true;
    event_line line(event::request_answered);
    line.field("request", what.from.caller_id)
        .field("service", what.service)
        .field("priority", what.priority_name)
        .field("server", result.server)
        .field("kind", error_response_for(kind).name)
        .field("outcome", to_string(kind == error_kind::none
                                        ? result.run_outcome
                                        : error_response_for(kind).run_outcome))
        .field("status", result.status)
        .field("attempts", static_cast<unsigned>(what.attempts.size()))
        .routine(kind == error_kind::none && result.status < 500);
    out.log.push_back(std::move(line));
    out.replies.push_back({what.from.id, what.from.caller_id, kind,
                           std::string(detail), std::move(result),
                           what.priority_name, what.from.received});
}

void end_claim(request const& what, work_result const& result, bool not_run,
               actions& out)
{
    out.claim_messages.push_back(claims::claim_end{
        what.claim.claim, what.account, what.from.idempotency_key, result,
        not_run, what.from.id});
}

bool is_claimed(request const& what)
{
    return !what.claim.claim.id.empty();
}

void note_overtaken(state& self, request const& what, time_point now)
{
    duration const expected =
        percentile_95(service_of(self, what.service).latency)
            .value_or(duration(0));
    duration const limit = std::max(least_silence, silence_factor * expected);
    for (attempt const& which : what.attempts)
    {
        if (which.open && now - which.sent > limit)
            note_silence(self.evidence, which.home.id, soft_silence, now);
    }
}

} // namespace

void keep_failure(request& what, work_result&& result)
{
    if (what.failed_before &&
        knowledge(result.run_outcome) < knowledge(what.failure.run_outcome))
        return;
    what.failed_before = true;
    what.failure = std::move(result);
}

error_kind kind_for(error_kind kind, outcome result)
{
    if (kind == error_kind::none && result == outcome::ran)
        return kind;
    if (kind != error_kind::none &&
        error_response_for(kind).run_outcome == result)
        return kind;
    if (kind == error_kind::timed_out && result == outcome::not_run)
        return error_kind::deadline_unmet;
    return result == outcome::not_run ? error_kind::no_server
                                      : error_kind::outcome_unknown;
}

void answer_success(state& self, request& what, work_result&& result,
                    time_point now, actions& out)
{
    note_overtaken(self, what, now);
    cancel_open_attempts(self, what, out);
    if (is_claimed(what))
        end_claim(what, result, false, out);
    reply_once(what, error_kind::none, {}, std::move(result), out);
    erase_request(self, what.from.id);
}

void answer_failure(state& self, request& what, time_point now, actions& out)
{
    work_result result = std::move(what.failure);
    bool const not_run = result.run_outcome == outcome::not_run;
    if (is_claimed(what))
        end_claim(what, result, not_run, out);
    if (is_claimed(what) && not_run && !what.answered)
    {
        what.failure = std::move(result);
        what.now_in = phase::releasing;
        set_timer(self, what, std::max(what.deadline, now) + release_time);
        return;
    }
    error_kind const kind = self.stopping && not_run
                                ? error_kind::draining
                                : kind_for(result.kind, result.run_outcome);
    std::string const detail = result.detail;
    reply_once(what, kind, detail, std::move(result), out);
    erase_request(self, what.from.id);
}

void answer_late(state& self, request& what, time_point now, actions& out)
{
    for (attempt const& which : what.attempts)
    {
        if (which.open)
            note_silence(self.evidence, which.home.id, hard_silence, now);
    }
    work_result result;
    result.id = what.from.id;
    result.kind = error_kind::timed_out;
    result.run_outcome = outcome::unknown;
    result.detail = "no answer before the deadline";
    if (!is_claimed(what))
    {
        cancel_open_attempts(self, what, out);
        keep_failure(what, std::move(result));
        answer_failure(self, what, now, out);
        return;
    }
    reply_once(what, error_kind::timed_out, result.detail, std::move(result),
               out);
    what.now_in = phase::settling;
    set_timer(self, what, now + settle_time);
}

void reply_refusal(state& self, request& what, error_kind kind,
                   std::string_view detail, actions& out)
{
    if (what.answered)
        return;
    what.answered = true;
    auto const service = self.services.find(what.service);
    std::uint64_t const passed_over =
        service == self.services.end() ? 0 : service->second.candidates.size();
    event_line line(event::request_refused);
    line.field("request", what.from.caller_id)
        .field("service", what.service)
        .field("priority", what.priority_name)
        .field("server", "")
        .field("reason", error_response_for(kind).name)
        .field("detail", detail)
        .field("passed_over", passed_over);
    out.log.push_back(std::move(line));
    out.replies.push_back({what.from.id,
                           what.from.caller_id,
                           kind,
                           std::string(detail),
                           {},
                           what.priority_name,
                           what.from.received});
}

void refuse(state& self, request& what, error_kind kind,
            std::string_view detail, actions& out)
{
    reply_refusal(self, what, kind, detail, out);
    erase_request(self, what.from.id);
}

void withdraw(state& self, request& what)
{
    what.now_in = phase::withdrawn;
    set_timer(self, what, never);
}

void return_claim(state& self, request& what, actions& out)
{
    work_result unused;
    unused.id = what.from.id;
    unused.kind = error_kind::deadline_unmet;
    unused.run_outcome = outcome::not_run;
    end_claim(what, unused, true, out);
    erase_request(self, what.from.id);
}

void settle(state& self, request& what, actions& out)
{
    work_result result;
    result.id = what.from.id;
    result.kind = error_kind::outcome_unknown;
    result.run_outcome = outcome::unknown;
    result.detail = "no result from the home";
    end_claim(what, result, false, out);
    erase_request(self, what.from.id);
}

} // namespace gooseberrycove::routing
