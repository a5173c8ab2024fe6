#include <gooseberrycove/header.hpp>

#include <catch2/catch.hpp>

using namespace gooseberrycove;

TEST_CASE("only headers of the message itself go on to the next hop")
{
    // Guards against a header of one connection that reaches the next one,
    // and against a header that the fleet sets and the caller has set too.
    std::vector<header_field> const headers{{"Host", "a.example"},
                                            {"connection", "close, X-Hop"},
                                            {"X-Hop", "1"},
                                            {"Transfer-Encoding", "chunked"},
                                            {"Content-Length", "4"},
                                            {"x-request-id", "forged"},
                                            {"Accept-Language", "fr"},
                                            {"Accept-Language", "en"},
                                            {"Keep-Alive", "timeout=5"},
                                            {"X-Empty", ""}};
    std::vector<std::string_view> const own{"X-Request-Id"};
    std::vector<header_field> const expected{{"Host", "a.example"},
                                             {"Accept-Language", "fr"},
                                             {"Accept-Language", "en"},
                                             {"X-Empty", ""}};
    CHECK(forwarded_headers(headers, own) == expected);
}
