#include "caller_request.hpp"

#include <charconv>

namespace gooseberrycove::front
{

namespace
{

/// Longest X-Deadline-Ms that is accepted: one hour.
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::size_t max_key = 255;

duration read_deadline(std::string_view text)
{
    std::int64_t value = 0;
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 1 ||
        value > max_deadline_ms)
        throw error(error_kind::bad_request,
                    "X-Deadline-Ms: allowed: 1 to 3600000 milliseconds");
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
                                     std::mt19937_64& generator, time_point now)
{
    routing::caller_request request;
    request.received = now;
    request.id = {generator(), generator()};
    std::string_view const id = from.header("X-Request-Id");
    if (!id.empty())
    {
        auto const parsed = parse_request_id(id);
        if (!parsed)
            throw error(error_kind::bad_request,
                        "X-Request-Id: allowed: 32 hexadecimal digits");
        request.id = *parsed;
    }
    if (from.body().size() > max_body)
        throw error(error_kind::too_large,
                    "the body is larger than 1048576 bytes");
    std::string_view const deadline = from.header("X-Deadline-Ms");
    if (!deadline.empty())
        request.time_allowed = read_deadline(deadline);
    std::string_view const key = from.header("Idempotency-Key");
    if (key.size() > max_key || !is_printable(key))
        throw error(error_kind::bad_request,
                    "Idempotency-Key: allowed: up to 255 printable characters");
    request.credentials = http::bearer_token(from.header("Authorization"));
    request.method = from.method();
    request.target = from.target();
    request.content_type = from.header("Content-Type");
    request.body = from.body();
    request.idempotency_key = key;
    request.traceparent = from.header("traceparent");
    return request;
}

http::response to_response(answer const& what)
{
    http::response out;
    out.status = what.status;
    out.content_type = what.content_type;
    out.body = what.body;
    out.headers.emplace_back("X-Request-Id", to_string(what.id));
    out.headers.emplace_back("X-Outcome", to_string(what.result));
    if (what.retry_after_s > 0)
        out.headers.emplace_back("Retry-After",
                                 std::to_string(what.retry_after_s));
    return out;
}

answer refusal(request_id id, error_kind kind, std::string_view detail)
{
    error_answer const& row = answer_of(kind);
    answer out;
    out.id = id;
    out.status = row.status;
    out.content_type = "application/problem+json";
    out.body = problem_document(kind, detail, to_string(id));
    out.result = row.result;
    out.retry_after_s = row.retry_after_s;
    return out;
}

} // namespace gooseberrycove::front
