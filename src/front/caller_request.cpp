#include "caller_request.hpp"

#include <gooseberrycove/status.hpp>

#include <array>
#include <charconv>

namespace gooseberrycove::front
{

namespace
{

/// Maximum accepted value of X-Deadline-Ms: one hour.
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::size_t max_idempotency_key_bytes = 255;

constexpr std::size_t max_caller_id_bytes = 1024;

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

routing::caller_request read_request(http::exchange& exchange,
                                     request_options const& options,
                                     std::mt19937_64& generator, time_point now)
{
    header_names const& names = options.names;
    routing::caller_request request;
    request.received = now;
    request.id = {generator(), generator()};
    request.caller_id = exchange.header(names.request_id);
    if (request.caller_id.empty())
        request.caller_id = to_string(request.id);
    if (request.caller_id.size() > max_caller_id_bytes)
        throw error(error_kind::bad_request,
                    names.request_id + ": allowed: up to 1024 bytes");
    if (exchange.body_refusal() == error_kind::overloaded)
        throw error(error_kind::overloaded,
                    "no memory for the body beside those of other requests");
    if (exchange.body_refusal() == error_kind::too_large ||
        exchange.body().size() > options.max_body_bytes)
        throw error(error_kind::too_large,
                    "the body is larger than " +
                        std::to_string(options.max_body_bytes) + " bytes");
    std::string_view const deadline = exchange.header(names.time_allowed);
    if (!deadline.empty())
        request.time_allowed = read_deadline(names.time_allowed, deadline);
    std::string_view const key = exchange.header("Idempotency-Key");
    if (key.size() > max_idempotency_key_bytes || !is_printable(key))
        throw error(error_kind::bad_request,
                    "Idempotency-Key: allowed: up to 255 printable characters");
    if (names.account_key.empty())
        request.credentials =
            http::bearer_token(exchange.header("Authorization"));
    else
        request.credentials = exchange.header(names.account_key);
    request.method = exchange.method();
    request.target = exchange.target();
    request.host = exchange.header("Host");
    request.content_type = exchange.header("Content-Type");
    request.headers = forwarded_headers(
        exchange.headers(),
        std::array<std::string_view, 9>{
            names.request_id, names.time_allowed, names.expected_server,
            names.caller_service, names.account_key, names.account_name,
            "Content-Type", "Idempotency-Key", "traceparent"});
    request.body = exchange.take_body();
    request.idempotency_key = key;
    request.traceparent = exchange.header("traceparent");
    return request;
}

http::response to_response(caller_response const& response,
                           std::string_view caller_id,
                           header_names const& names)
{
    if (!is_final_status(response.status))
        return to_response(
            make_refusal(caller_id, error_kind::answer_cut, "invalid status"),
            caller_id, names);
    http::response encoded;
    encoded.status = response.status;
    encoded.content_type = response.content_type;
    encoded.body = response.body;
    encoded.headers = response.headers;
    encoded.headers.push_back({names.request_id, std::string(caller_id)});
    encoded.headers.push_back(
        {"X-Outcome", std::string(to_string(response.run_outcome))});
    if (response.retry_after.count() > 0)
        encoded.headers.push_back(
            {"Retry-After", retry_after_text(response.retry_after)});
    return encoded;
}

caller_response make_refusal(std::string_view caller_id, error_kind kind,
                             std::string_view detail)
{
    error_response const& properties = error_response_for(kind);
    caller_response refusal;
    refusal.status = properties.status;
    refusal.content_type = "application/problem+json";
    refusal.body = problem_document(kind, detail, caller_id);
    refusal.run_outcome = properties.run_outcome;
    refusal.retry_after = std::chrono::seconds(properties.retry_after_s);
    return refusal;
}

} // namespace gooseberrycove::front
