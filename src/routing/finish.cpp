#include "finish.hpp"

#include "attempts.hpp"

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

/// An overtaken attempt that has been open for this multiple of its service's
/// 95th latency percentile is evidence that its home does not respond.
constexpr int unresponsive_factor = 4;
constexpr duration min_unresponsive_time = std::chrono::milliseconds(100);

int execution_rank(outcome value)
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

void respond_once(request_state& request, error_kind kind,
                  std::string_view detail, work_result&& result, actions& out)
{
    if (request.is_answered)
        return;
    request.is_answered = true;
    event_line line(event::request_answered);
    line.field("request", request.original.caller_id)
        .field("service", request.service)
        .field("priority", request.priority_name)
        .field("server", result.server)
        .field("kind", error_response_for(kind).name)
        .field("outcome", to_string(kind == error_kind::none
                                        ? result.run_outcome
                                        : error_response_for(kind).run_outcome))
        .field("status", result.status)
        .field("attempts", static_cast<unsigned>(request.attempts.size()))
        .routine(kind == error_kind::none && result.status < 500);
    out.log.push_back(std::move(line));
    out.responses.push_back({request.original.id, request.original.caller_id,
                             kind, std::string(detail), std::move(result),
                             request.priority_name, request.original.received});
}

void end_claim(request_state const& request, work_result const& result,
               bool is_not_run, actions& out)
{
    out.claim_messages.push_back(
        claims::claim_end{request.claim_result.claim, request.account,
                          request.original.idempotency_key, result, is_not_run,
                          request.original.id});
}

bool has_claim(request_state const& request)
{
    return !request.claim_result.claim.id.empty();
}

void record_overtaken_homes(routing_state& state, request_state const& request,
                            time_point now)
{
    duration const expected =
        percentile_95(service_of(state, request.service).latency)
            .value_or(duration(0));
    duration const limit =
        std::max(min_unresponsive_time, unresponsive_factor * expected);
    for (attempt_state const& attempt : request.attempts)
    {
        if (attempt.is_open && now - attempt.sent_at > limit)
            record_unresponsive(state.evidence, attempt.home.id,
                                overtaken_penalty, now);
    }
}

} // namespace

void keep_failure(request_state& request, work_result&& result)
{
    if (result.retry_after.count() > 0 &&
        (request.retry_after.count() == 0 ||
         result.retry_after < request.retry_after))
        request.retry_after = result.retry_after;
    if (request.has_failure && execution_rank(result.run_outcome) <
                                   execution_rank(request.failure.run_outcome))
        return;
    request.has_failure = true;
    request.failure = std::move(result);
}

error_kind error_kind_for(error_kind kind, outcome run_outcome)
{
    if (kind == error_kind::none && run_outcome == outcome::ran)
        return kind;
    if (kind != error_kind::none &&
        error_response_for(kind).run_outcome == run_outcome)
        return kind;
    if (kind == error_kind::timed_out && run_outcome == outcome::not_run)
        return error_kind::deadline_unmet;
    return run_outcome == outcome::not_run ? error_kind::no_server
                                           : error_kind::outcome_unknown;
}

void return_token(request_state& request, actions& out)
{
    if (!request.has_token || request.servers_reached > 0)
        return;
    request.has_token = false;
    out.limit_messages.push_back(account_limit::token_return{request.account});
}

void respond_success(routing_state& state, request_state& request,
                     work_result&& result, time_point now, actions& out)
{
    record_overtaken_homes(state, request, now);
    cancel_open_attempts(state, request, out);
    if (has_claim(request))
        end_claim(request, result, false, out);
    respond_once(request, error_kind::none, {}, std::move(result), out);
    erase_request(state, request.original.id);
}

void respond_failure(routing_state& state, request_state& request,
                     time_point now, actions& out)
{
    work_result result = std::move(request.failure);
    bool const is_not_run = result.run_outcome == outcome::not_run;
    if (has_claim(request))
        end_claim(request, result, is_not_run, out);
    if (has_claim(request) && is_not_run && !request.is_answered)
    {
        request.failure = std::move(result);
        request.current_phase = phase::releasing;
        set_timer(state, request,
                  std::max(request.deadline, now) + max_release_time);
        return;
    }
    if (is_not_run)
        return_token(request, out);
    error_kind const kind =
        state.is_stopping && is_not_run
            ? error_kind::draining
            : error_kind_for(result.kind, result.run_outcome);
    std::string const detail = result.detail;
    result.retry_after = request.retry_after;
    respond_once(request, kind, detail, std::move(result), out);
    erase_request(state, request.original.id);
}

void respond_timed_out(routing_state& state, request_state& request,
                       time_point now, actions& out)
{
    for (attempt_state const& attempt : request.attempts)
    {
        if (attempt.is_open)
            record_unresponsive(state.evidence, attempt.home.id,
                                no_response_penalty, now);
    }
    work_result result;
    result.id = request.original.id;
    result.kind = error_kind::timed_out;
    result.run_outcome = outcome::unknown;
    result.detail = "no response before the deadline";
    if (!has_claim(request))
    {
        cancel_open_attempts(state, request, out);
        keep_failure(request, std::move(result));
        respond_failure(state, request, now, out);
        return;
    }
    respond_once(request, error_kind::timed_out, result.detail,
                 std::move(result), out);
    request.current_phase = phase::settling;
    set_timer(state, request, now + max_settle_time);
}

void respond_refusal(routing_state& state, request_state& request,
                     error_kind kind, std::string_view detail, actions& out)
{
    if (error_response_for(kind).run_outcome == outcome::not_run)
        return_token(request, out);
    if (request.is_answered)
        return;
    request.is_answered = true;
    auto const service = state.services.find(request.service);
    std::uint64_t const passed_over =
        service == state.services.end() ? 0 : service->second.candidates.size();
    event_line line(event::request_refused);
    line.field("request", request.original.caller_id)
        .field("service", request.service)
        .field("priority", request.priority_name)
        .field("server", "")
        .field("reason", error_response_for(kind).name)
        .field("detail", detail)
        .field("passed_over", passed_over);
    out.log.push_back(std::move(line));
    work_result result;
    result.retry_after = request.retry_after;
    out.responses.push_back({request.original.id, request.original.caller_id,
                             kind, std::string(detail), std::move(result),
                             request.priority_name, request.original.received});
}

void refuse(routing_state& state, request_state& request, error_kind kind,
            std::string_view detail, actions& out)
{
    respond_refusal(state, request, kind, detail, out);
    erase_request(state, request.original.id);
}

void withdraw(routing_state& state, request_state& request)
{
    request.current_phase = phase::withdrawn;
    set_timer(state, request, never);
}

void return_claim(routing_state& state, request_state& request, actions& out)
{
    work_result unused;
    unused.id = request.original.id;
    unused.kind = error_kind::deadline_unmet;
    unused.run_outcome = outcome::not_run;
    end_claim(request, unused, true, out);
    erase_request(state, request.original.id);
}

void settle_claim(routing_state& state, request_state& request, actions& out)
{
    work_result result;
    result.id = request.original.id;
    result.kind = error_kind::outcome_unknown;
    result.run_outcome = outcome::unknown;
    result.detail = "no result from the home";
    end_claim(request, result, false, out);
    erase_request(state, request.original.id);
}

} // namespace gooseberrycove::routing
