#include <gooseberrycove/error.hpp>

#include <nlohmann/json.hpp>

#include <array>

namespace gooseberrycove
{

namespace
{

using enum error_kind;
using enum outcome;

constexpr std::array error_answers{
    error_answer{none, "none", 200, ran, 0, "Answered by a backend server"},
    error_answer{bad_request, "bad_request", 400, not_run, 0,
                 "The request is malformed"},
    error_answer{unauthenticated, "unauthenticated", 401, not_run, 0,
                 "The account or its secret is unknown"},
    error_answer{wrong_token, "wrong_token", 401, not_run, 0,
                 "The administration or announcement key is wrong"},
    error_answer{forbidden, "forbidden", 403, not_run, 0,
                 "The account may not do this"},
    error_answer{no_route, "no_route", 404, not_run, 0,
                 "No route matches the method and path"},
    error_answer{in_progress, "in_progress", 409, unknown, 1,
                 "A request with this idempotency key is in progress"},
    error_answer{stale_version, "stale_version", 412, not_run, 0,
                 "The patch names a stale configuration version"},
    error_answer{too_large, "too_large", 413, not_run, 0,
                 "The body exceeds the size limit"},
    error_answer{key_reused, "key_reused", 422, not_run, 0,
                 "The idempotency key was used with another request"},
    error_answer{invalid_patch, "invalid_patch", 422, not_run, 0,
                 "The patch is invalid"},
    error_answer{rate_limited, "rate_limited", 429, not_run, 1,
                 "The account's request rate is exceeded"},
    error_answer{cancelled, "cancelled", 499, unknown, 0,
                 "The caller closed the connection"},
    error_answer{internal, "internal", 500, unknown, 0,
                 "Internal error of the daemon"},
    error_answer{server_failed, "server_failed", 502, unknown, 0,
                 "The backend server failed"},
    error_answer{answer_cut, "answer_cut", 502, unknown, 0,
                 "The backend server's answer was incomplete"},
    error_answer{overloaded, "overloaded", 503, not_run, 1,
                 "The service is overloaded"},
    error_answer{no_server, "no_server", 503, not_run, 1,
                 "No backend server of the service can be reached"},
    error_answer{deadline_unmet, "deadline_unmet", 503, not_run, 1,
                 "The deadline cannot be met"},
    error_answer{draining, "draining", 503, not_run, 1,
                 "The daemon or backend server is draining"},
    error_answer{store_unavailable, "store_unavailable", 503, not_run, 5,
                 "The platform's table service cannot be reached"},
    error_answer{timed_out, "timed_out", 504, unknown, 0,
                 "The deadline passed before the answer was complete"},
    error_answer{outcome_unknown, "outcome_unknown", 504, unknown, 0,
                 "Whether the request ran is unknown"},
    error_answer{wrong_protocol, "wrong_protocol", 400, not_run, 0,
                 "The peer message's protocol version is not supported"},
    error_answer{no_configuration, "no_configuration", 503, not_run, 1,
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

error_answer const& answer_of(error_kind kind)
{
    auto const index = static_cast<std::size_t>(kind);
    if (index >= error_answers.size())
        return error_answers[static_cast<std::size_t>(internal)];
    return error_answers[index];
}

std::span<error_answer const> all_error_answers()
{
    return error_answers;
}

std::string problem_document(error_kind kind, std::string_view detail,
                             std::string_view request)
{
    error_answer const& answer = answer_of(kind);
    nlohmann::ordered_json document;
    document["type"] = "urn:gooseberrycove:" + std::string(answer.name);
    document["title"] = answer.title;
    document["status"] = answer.status;
    document["detail"] = detail;
    document["kind"] = answer.name;
    document["outcome"] = to_string(answer.result);
    document["request_id"] = request;
    return document.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace);
}

} // namespace gooseberrycove
