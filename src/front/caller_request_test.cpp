#include "caller_request.hpp"
#include <gooseberrycove/uri.hpp>

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace gooseberrycove;

namespace
{

class mock_exchange : public http::exchange
{
public:
    MAKE_CONST_MOCK0(method, std::string_view(), override);
    MAKE_CONST_MOCK0(target, std::string_view(), override);
    MAKE_CONST_MOCK1(header, std::string_view(std::string_view name), override);
    MAKE_CONST_MOCK0(headers, std::vector<header_field>(), override);
    MAKE_CONST_MOCK0(body, std::string_view(), override);
    MAKE_CONST_MOCK0(connection, std::uint64_t(), override);
    MAKE_MOCK2(respond, void(http::response const&, std::function<void()>),
               override);
};

error_kind read_error_kind(std::string_view header, std::string_view value,
                           std::string_view body = "")
{
    mock_exchange exchange;
    ALLOW_CALL(exchange, method()).RETURN("POST");
    ALLOW_CALL(exchange, target()).RETURN("/orders");
    ALLOW_CALL(exchange, body()).LR_RETURN(body);
    ALLOW_CALL(exchange, headers()).RETURN(std::vector<header_field>());
    ALLOW_CALL(exchange, header(trompeloeil::_))
        .LR_RETURN(_1 == header ? value : std::string_view());
    std::mt19937_64 generator(1);
    try
    {
        front::read_request(exchange, {}, generator, time_point());
    }
    catch (error const& failure)
    {
        return failure.kind();
    }
    return error_kind::none;
}

} // namespace

TEST_CASE("a request with malformed headers is refused")
{
    struct row
    {
        char const* header;
        std::string value;
        error_kind expected;
    };
    std::vector<row> const rows{
        {"X-Deadline-Ms", "100", error_kind::none},
        {"X-Deadline-Ms", "0", error_kind::bad_request},
        {"X-Deadline-Ms", "-5", error_kind::bad_request},
        {"X-Deadline-Ms", "99999999999999999999", error_kind::bad_request},
        {"X-Deadline-Ms", "10s", error_kind::bad_request},
        {"X-Request-Id", "0123456789abcdef0123456789abcdef", error_kind::none},
        // The caller's id is opaque; it is only forwarded to the server.
        {"X-Request-Id", "short", error_kind::none},
        {"X-Request-Id", std::string(1025, 'i'), error_kind::bad_request},
        {"Idempotency-Key", "order-17", error_kind::none},
        {"Idempotency-Key", "two words", error_kind::bad_request},
        {"Idempotency-Key", std::string(256, 'k'), error_kind::bad_request},
    };
    for (row const& item : rows)
    {
        INFO(item.header << ": " << item.value);
        CHECK(read_error_kind(item.header, item.value) == item.expected);
    }
}

TEST_CASE("the caller's id is forwarded unchanged and is not the fleet's id")
{
    // Guards against two callers that use the same id receiving each other's
    // responses, and against forwarding hop-by-hop headers and headers that the
    // fleet sets.
    mock_exchange exchange;
    ALLOW_CALL(exchange, method()).RETURN("POST");
    ALLOW_CALL(exchange, target()).RETURN("/orders");
    ALLOW_CALL(exchange, body()).RETURN("");
    ALLOW_CALL(exchange, header(trompeloeil::_))
        .RETURN(_1 == "X-Id" ? "a b/c" : std::string_view());
    ALLOW_CALL(exchange, headers())
        .RETURN(std::vector<header_field>{
            {"Connection", "close"}, {"x-id", "a b/c"}, {"X-Other", "1"}});
    front::request_options options;
    options.names.request_id = "X-Id";
    std::mt19937_64 generator(1);
    auto const first =
        front::read_request(exchange, options, generator, time_point());
    auto const second =
        front::read_request(exchange, options, generator, time_point());
    CHECK(first.caller_id == "a b/c");
    CHECK(first.id != second.id);
    CHECK(first.headers == std::vector<header_field>{{"X-Other", "1"}});
}

TEST_CASE("an account's key is read from its header and not forwarded")
{
    // Guards against a backend server that learns a key, or that believes a
    // caller's own statement of its account.
    mock_exchange exchange;
    ALLOW_CALL(exchange, method()).RETURN("GET");
    ALLOW_CALL(exchange, target()).RETURN("/rides");
    ALLOW_CALL(exchange, body()).RETURN("");
    ALLOW_CALL(exchange, header(trompeloeil::_))
        .RETURN(_1 == "X-Account-Key" ? "k-17" : std::string_view());
    ALLOW_CALL(exchange, headers())
        .RETURN(std::vector<header_field>{{"x-account-key", "k-17"},
                                          {"X-Account", "other"},
                                          {"X-Other", "1"}});
    front::request_options options;
    options.names.account_key = "X-Account-Key";
    options.names.account_name = "X-Account";
    std::mt19937_64 generator(1);
    auto const request =
        front::read_request(exchange, options, generator, time_point());
    CHECK(request.credentials == "k-17");
    CHECK(request.headers == std::vector<header_field>{{"X-Other", "1"}});
}

TEST_CASE("a body over the limit is refused as too large")
{
    std::string const body(front::default_max_body + 1, 'x');
    CHECK(read_error_kind("", "", body) == error_kind::too_large);
    CHECK(read_error_kind("", "", std::string_view(body).substr(1)) ==
          error_kind::none);
}

TEST_CASE("a refusal has the request id, X-Outcome and Retry-After")
{
    http::response const response = front::to_response(
        front::make_refusal("order-17", error_kind::overloaded, "full"),
        "order-17", {});
    CHECK(response.status == 503);
    std::string headers;
    for (auto const& [name, value] : response.headers)
        headers += name + "=" + value + " ";
    CHECK(headers == "X-Request-Id=order-17 "
                     "X-Outcome=not_run Retry-After=1 ");
}

TEST_CASE("a response with an invalid status is not sent to the caller")
{
    for (int const status : {0, 99, 199, 600, 999, -1})
    {
        front::caller_response invalid;
        invalid.status = status;
        invalid.run_outcome = outcome::ran;
        CHECK(front::to_response(invalid, "order-17", {}).status == 502);
    }
}

TEST_CASE("Retry-After has a fraction only where the wait has one")
{
    // Guards against callers that wait a second for a slot free in 0.1 s, and
    // against a wait of 0, at which they would ask again at once.
    using namespace std::chrono_literals;
    CHECK(retry_after_text(1us) == "0.1");
    CHECK(retry_after_text(310ms) == "0.4");
    CHECK(retry_after_text(1s) == "1");
    CHECK(retry_after_text(10'950ms) == "11");
}

TEST_CASE("query values are decoded and absent ones are empty")
{
    CHECK(uri::query_value("/e?path=%2Fa%20b&x=1", "path") == "/a b");
    CHECK(uri::query_value("/e?path", "path").empty());
    CHECK(uri::query_value("/e?a=%zz", "a") == "%zz");
    CHECK(http::bearer_token("Bearer a:b") == "a:b");
    CHECK(http::bearer_token("Basic a").empty());
}
