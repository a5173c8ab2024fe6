#include "load/attempt_result.hpp"

#include "evidence/response_body.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace gooseberrycove::load
{

namespace
{

outcome parse_outcome(std::string_view text)
{
    for (outcome const value : {outcome::not_run, outcome::ran})
    {
        if (text == to_string(value))
            return value;
    }
    return outcome::unknown;
}

std::string_view reason_of(transfer_end end)
{
    switch (end)
    {
    case transfer_end::complete:
        return {};
    case transfer_end::not_sent:
        return "not_sent";
    case transfer_end::truncated:
        return "cut";
    case transfer_end::lost:
        return "lost";
    case transfer_end::timed_out:
        return "timed_out";
    }
    return {};
}

/// Request id in a problem document; empty when there is none.
std::string problem_request_id(std::string_view body)
{
    auto const document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("request_id") ||
        !document["request_id"].is_string())
        return {};
    return document["request_id"].get<std::string>();
}

void classify_response(transfer_result const& result,
                       std::span<std::string const> request_ids,
                       attempt_result& out)
{
    std::string const& current_id = request_ids.back();
    out.run_outcome = parse_outcome(result.outcome);
    out.is_complete = true;
    out.is_own_response = result.request_id == current_id;
    if (out.run_outcome != outcome::ran)
    {
        std::string const problem_id = problem_request_id(result.body);
        out.is_own_response = *out.is_own_response &&
                              (problem_id.empty() || problem_id == current_id);
        return;
    }
    auto const body = evidence::parse_response_body(result.body);
    out.is_complete = body.has_value();
    if (!body)
        return;
    out.server = body->server;
    out.is_own_response = *out.is_own_response &&
                          std::find(request_ids.begin(), request_ids.end(),
                                    body->request_id) != request_ids.end();
}

} // namespace

attempt_result classify_attempt(transfer_result const& result,
                                std::span<std::string const> request_ids)
{
    attempt_result out;
    out.reason = reason_of(result.end);
    if (result.end == transfer_end::complete)
        classify_response(result, request_ids, out);
    else if (result.end == transfer_end::not_sent)
        out.run_outcome = outcome::not_run;
    else if (result.end == transfer_end::truncated)
        out.is_complete = false;
    return out;
}

bool is_wrong(attempt_result const& attempt)
{
    return !attempt.is_complete.value_or(true) ||
           !attempt.is_own_response.value_or(true);
}

} // namespace gooseberrycove::load
