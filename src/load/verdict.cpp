#include "load/verdict.hpp"

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
    case transfer_end::cut:
        return "cut";
    case transfer_end::lost:
        return "lost";
    case transfer_end::timed_out:
        return "timed_out";
    }
    return {};
}

/// Request id of a problem document; empty when it names none.
std::string problem_request(std::string_view body)
{
    auto const in = nlohmann::json::parse(body, nullptr, false);
    if (!in.is_object() || !in.contains("request_id") ||
        !in["request_id"].is_string())
        return {};
    return in["request_id"].get<std::string>();
}

void judge_response(transfer_result const& result,
                    std::span<std::string const> requests, verdict& out)
{
    std::string const& now = requests.back();
    out.result = parse_outcome(result.outcome);
    out.complete = true;
    out.own = result.request == now;
    if (out.result != outcome::ran)
    {
        std::string const named = problem_request(result.body);
        out.own = *out.own && (named.empty() || named == now);
        return;
    }
    auto const body = evidence::parse_response_body(result.body);
    out.complete = body.has_value();
    if (!body)
        return;
    out.server = body->server;
    out.own = *out.own && std::find(requests.begin(), requests.end(),
                                    body->request_id) != requests.end();
}

} // namespace

verdict judge(transfer_result const& result,
              std::span<std::string const> requests)
{
    verdict out;
    out.reason = reason_of(result.end);
    if (result.end == transfer_end::complete)
        judge_response(result, requests, out);
    else if (result.end == transfer_end::not_sent)
        out.result = outcome::not_run;
    else if (result.end == transfer_end::cut)
        out.complete = false;
    return out;
}

bool is_wrong(verdict const& what)
{
    return !what.complete.value_or(true) || !what.own.value_or(true);
}

} // namespace gooseberrycove::load
