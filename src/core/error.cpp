#include <gooseberrycove/error.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace gooseberrycove
{

namespace
{

using enum error_kind;
using enum outcome;

constexpr std::array error_responses{
    error_response{none, "none", 200, ran, 0, "Answered by a backend server"},
    error_response{bad_request, "bad_request", 400, not_run, 0,
                   "The request is malformed"},
    error_response{unauthenticated, "unauthenticated", 401, not_run, 0,
                   "The account or its secret is unknown"},
    error_response{wrong_token, "wrong_token", 401, not_run, 0,
                   "The administration or announcement key is wrong"},
    error_response{forbidden, "forbidden", 403, not_run, 0,
                   "The account may not do this"},
    error_response{no_route, "no_route", 404, not_run, 0,
                   "No route matches the method and path"},
    error_response{in_progress, "in_progress", 409, unknown, 1,
                   "A request with this idempotency key is in progress"},
    error_response{stale_version, "stale_version", 412, not_run, 0,
                   "The patch names a stale configuration version"},
    error_response{too_large, "too_large", 413, not_run, 0,
                   "The body exceeds the size limit"},
    error_response{key_reused, "key_reused", 422, not_run, 0,
                   "The idempotency key was used with another request"},
    error_response{invalid_patch, "invalid_patch", 422, not_run, 0,
                   "The patch is invalid"},
    error_response{rate_limited, "rate_limited", 429, not_run, 1,
                   "The account's request rate is exceeded"},
    error_response{cancelled, "cancelled", 499, unknown, 0,
                   "The caller closed the connection"},
    error_response{internal, "internal", 500, unknown, 0,
                   "Internal error of the daemon"},
    error_response{server_failed, "server_failed", 502, unknown, 0,
                   "The backend server failed"},
    error_response{answer_cut, "answer_cut", 502, unknown, 0,
                   "The backend server's answer was incomplete"},
    error_response{overloaded, "overloaded", 503, not_run, 1,
                   "The service is overloaded"},
    error_response{no_server, "no_server", 503, not_run, 1,
                   "No backend server of the service can be reached"},
    error_response{deadline_unmet, "deadline_unmet", 503, not_run, 1,
                   "The deadline cannot be met"},
    error_response{draining, "draining", 503, not_run, 1,
                   "The daemon or backend server is draining"},
    error_response{store_unavailable, "store_unavailable", 503, not_run, 5,
                   "The platform's table service cannot be reached"},
    error_response{timed_out, "timed_out", 504, unknown, 0,
                   "The deadline passed before the answer was complete"},
    error_response{outcome_unknown, "outcome_unknown", 504, unknown, 0,
                   "Whether the request ran is unknown"},
    error_response{wrong_protocol, "wrong_protocol", 400, not_run, 0,
                   "The peer message's protocol version is not supported"},
    error_response{no_configuration, "no_configuration", 503, not_run, 1,
                   "The daemon has not read the configuration yet"},
};

} // namespace

std::string_view to_string(outcome value)
{
    switch (value)
    {
    case not_run:
        return "not_run";
    case ran:
        return "ran";
    case unknown:
        break;
    }
    return "unknown";
}

error_response const& error_response_for(error_kind kind)
{
    auto const index = static_cast<std::size_t>(kind);
    if (index >= error_responses.size())
        return error_responses[static_cast<std::size_t>(internal)];
    return error_responses[index];
}

std::span<error_response const> all_error_responses()
{
    return error_responses;
}

std::string retry_after_text(duration wait)
{
    auto const tenths =
        std::chrono::ceil<std::chrono::duration<std::int64_t, std::deci>>(
            std::max(wait, min_retry_after))
            .count();
    std::string text = std::to_string(tenths / 10);
    if (tenths % 10 != 0)
        text += "." + std::to_string(tenths % 10);
    return text;
}

std::string problem_document(error_kind kind, std::string_view detail,
                             std::string_view request)
{
    error_response const& response = error_response_for(kind);
    nlohmann::ordered_json document;
    document["type"] = "urn:gooseberrycove:" + std::string(response.name);
    document["title"] = response.title;
    document["status"] = response.status;
    document["detail"] = detail;
    document["kind"] = response.name;
    document["outcome"] = to_string(response.run_outcome);
    document["request_id"] = request;
    return document.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace);
}

} // namespace gooseberrycove
