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
    MAKE_MOCK1(respond, void(http::response const&), override);
};

error_kind kind_of(std::string_view header, std::string_view value,
                   std::string_view body = "")
{
    mock_exchange from;
    ALLOW_CALL(from, method()).RETURN("POST");
    ALLOW_CALL(from, target()).RETURN("/orders");
    ALLOW_CALL(from, body()).LR_RETURN(body);
    ALLOW_CALL(from, headers()).RETURN(std::vector<header_field>());
    ALLOW_CALL(from, header(trompeloeil::_))
        .LR_RETURN(_1 == header ? value : std::string_view());
    std::mt19937_64 generator(1);
    try
    {
        front::read_request(from, {}, generator, time_point());
    }
    catch (error const& fault)
    {
        return fault.kind();
    }
    return error_kind::none;
}

} // namespace

TEST_CASE("malformed headers are refused before routing sees them")
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
        // The caller's id is opaque: it only goes on to the backend server.
        {"X-Request-Id", "short", error_kind::none},
        {"X-Request-Id", std::string(1025, 'i'), error_kind::bad_request},
        {"Idempotency-Key", "order-17", error_kind::none},
        {"Idempotency-Key", "two words", error_kind::bad_request},
        {"Idempotency-Key", std::string(256, 'k'), error_kind::bad_request},
    };
    for (row const& item : rows)
    {
        INFO(item.header << ": " << item.value);
        CHECK(kind_of(item.header, item.value) == item.expected);
    }
}

TEST_CASE("the caller's id goes on as it came and is not the fleet's number")
{
    // Guards against two callers with the same id getting each other's answer,
    // and against headers of the connection or of the fleet going on.
    mock_exchange from;
    ALLOW_CALL(from, method()).RETURN("POST");
    ALLOW_CALL(from, target()).RETURN("/orders");
    ALLOW_CALL(from, body()).RETURN("");
    ALLOW_CALL(from, header(trompeloeil::_))
        .RETURN(_1 == "X-Id" ? "a b/c" : std::string_view());
    ALLOW_CALL(from, headers())
        .RETURN(std::vector<header_field>{
            {"Connection", "close"}, {"x-id", "a b/c"}, {"X-Other", "1"}});
    front::reading how;
    how.names.request_id = "X-Id";
    std::mt19937_64 generator(1);
    auto const first = front::read_request(from, how, generator, time_point());
    auto const second = front::read_request(from, how, generator, time_point());
    CHECK(first.caller_id == "a b/c");
    CHECK(first.id != second.id);
    CHECK(first.headers == std::vector<header_field>{{"X-Other", "1"}});
}

TEST_CASE("a body over the limit is refused as too large")
{
    std::string const body(front::default_max_body + 1, 'x');
    CHECK(kind_of("", "", body) == error_kind::too_large);
    CHECK(kind_of("", "", std::string_view(body).substr(1)) ==
          error_kind::none);
}

TEST_CASE("a refusal carries outcome, request id and retry hint")
{
    http::response const out = front::to_response(
        front::refusal("order-17", error_kind::overloaded, "full"), "order-17",
        {});
    CHECK(out.status == 503);
    std::string headers;
    for (auto const& [name, value] : out.headers)
        headers += name + "=" + value + " ";
    CHECK(headers == "X-Request-Id=order-17 "
                     "X-Outcome=not_run Retry-After=1 ");
}

TEST_CASE("query values are decoded and absent ones are empty")
{
    CHECK(uri::query_value("/e?path=%2Fa%20b&x=1", "path") == "/a b");
    CHECK(uri::query_value("/e?path", "path").empty());
    CHECK(uri::query_value("/e?a=%zz", "a") == "%zz");
    CHECK(http::bearer_token("Bearer a:b") == "a:b");
    CHECK(http::bearer_token("Basic a").empty());
}
