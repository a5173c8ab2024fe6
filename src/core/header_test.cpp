#include <gooseberrycove/header.hpp>

#include <catch2/catch.hpp>

using namespace gooseberrycove;

TEST_CASE("hop-by-hop and excluded headers are not forwarded")
{
    // Guards against forwarding a header that applies to one connection only,
    // and against a caller's copy of a header that the daemons set.
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
    std::vector<std::string_view> const excluded{"X-Request-Id"};
    std::vector<header_field> const expected{{"Host", "a.example"},
                                             {"Accept-Language", "fr"},
                                             {"Accept-Language", "en"},
                                             {"X-Empty", ""}};
    CHECK(forwarded_headers(headers, excluded) == expected);
}
