#include "caller_request.hpp"

#include <array>
#include <charconv>

namespace gooseberrycove::front
{

namespace
{

/// Longest X-Deadline-Ms that is accepted: one hour.
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::size_t max_key = 255;

/// Longest id of a caller in bytes.
constexpr std::size_t max_caller_id = 1024;

duration read_deadline(std::string_view name, std::string_view text)
{
    std::int64_t value = 0;
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 1 ||
        value > max_deadline_ms)
        throw error(error_kind::bad_request,
                    std::string(name) + ": allowed: 1 to 3600000 milliseconds");
    return std::chrono::milliseconds(value);
}

bool is_printable(std::string_view text)
{
    for (char const c : text)
    {
        if (c < 0x21 || c > 0x7e)
            return false;
    }
    return true;
}

} // namespace

routing::caller_request read_request(http::exchange const& from,
                                     reading const& how,
                                     std::mt19937_64& generator, time_point now)
{
    header_names const& names = how.names;
    routing::caller_request request;
    request.received = now;
    request.id = {generator(), generator()};
    request.caller_id = from.header(names.request_id);
    if (request.caller_id.empty())
        request.caller_id = to_string(request.id);
    if (request.caller_id.size() > max_caller_id)
        throw error(error_kind::bad_request,
                    names.request_id + ": longer than 1024 bytes");
    if (from.body().size() > how.max_body)
        throw error(error_kind::too_large, "the body is larger than " +
                                               std::to_string(how.max_body) +
                                               " bytes");
    std::string_view const deadline = from.header(names.time_allowed);
    if (!deadline.empty())
        request.time_allowed = read_deadline(names.time_allowed, deadline);
    std::string_view const key = from.header("Idempotency-Key");
    if (key.size() > max_key || !is_printable(key))
        throw error(error_kind::bad_request,
                    "Idempotency-Key: allowed: up to 255 printable characters");
    request.credentials = http::bearer_token(from.header("Authorization"));
    request.method = from.method();
    request.target = from.target();
    request.host = from.header("Host");
    request.content_type = from.header("Content-Type");
    request.headers = forwarded_headers(
        from.headers(), std::array<std::string_view, 7>{
                            names.request_id, names.time_allowed,
                            names.expected_server, names.caller_service,
                            "Content-Type", "Idempotency-Key", "traceparent"});
    request.body = from.body();
    request.idempotency_key = key;
    request.traceparent = from.header("traceparent");
    return request;
}

http::response to_response(caller_response const& what,
                           std::string_view caller_id,
                           header_names const& names)
{
    http::response out;
    out.status = what.status;
    out.content_type = what.content_type;
    out.body = what.body;
    out.headers = what.headers;
    out.headers.push_back({names.request_id, std::string(caller_id)});
    out.headers.push_back(
        {"X-Outcome", std::string(to_string(what.run_outcome))});
    if (what.retry_after_s > 0)
        out.headers.push_back(
            {"Retry-After", std::to_string(what.retry_after_s)});
    return out;
}

caller_response refusal(std::string_view caller_id, error_kind kind,
                        std::string_view detail)
{
    error_response const& row = error_response_for(kind);
    caller_response out;
    out.status = row.status;
    out.content_type = "application/problem+json";
    out.body = problem_document(kind, detail, caller_id);
    out.run_outcome = row.run_outcome;
    out.retry_after_s = row.retry_after_s;
    return out;
}

} // namespace gooseberrycove::front
