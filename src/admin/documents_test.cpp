#include "documents.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;

namespace
{

std::string read_error(std::string_view body)
{
    try
    {
        admin::read_announcement(body);
    }
    catch (error const& failure)
    {
        return failure.what();
    }
    return {};
}

} // namespace

TEST_CASE("the error for an invalid announcement names the invalid member")
{
    struct test_case
    {
        char const* body;
        char const* expected_error;
    };
    std::vector<test_case> const test_cases{
        {R"({"name":"a","service":"s","address":"127.0.0.1:1"})", ""},
        {"", "allowed: a JSON object"},
        {"[1]", "allowed: a JSON object"},
        {R"({"service":"s","address":"127.0.0.1:1"})",
         "/name: allowed: a text"},
        {R"({"name":"a b","service":"s","address":"127.0.0.1:1"})",
         "/name: allowed: letters, digits, - _ . : [ ]"},
        {R"({"name":"a","service":"s","address":"host:1"})",
         "/address: allowed: ip:port"},
        {R"({"name":"a","service":"s","address":"127.0.0.1:1","slots":0})",
         "/slots: allowed: an integer from 1 to 10000"},
        {R"({"name":"a","service":"s","address":"127.0.0.1:1","slots":-1})",
         "/slots: allowed: an integer from 1 to 10000"},
        {R"({"name":"a","service":"s","address":"127.0.0.1:1","state":"x"})",
         "/state: allowed: serving, draining"},
    };
    for (test_case const& item : test_cases)
    {
        INFO(item.body);
        CHECK(read_error(item.body) == item.expected_error);
    }
}

TEST_CASE("If-Match accepts exactly one version")
{
    CHECK(admin::read_version("\"17\"") == 17);
    CHECK(admin::read_version("17") == 17);
    CHECK_THROWS_AS(admin::read_version("W/\"17\""), error);
    CHECK_THROWS_AS(admin::read_version(""), error);
    CHECK_THROWS_AS(admin::read_version("*"), error);
}

TEST_CASE(
    "the response to a stale patch has the active version and newer patches")
{
    config::patch_result result;
    result.kind = error_kind::stale_version;
    result.version = 9;
    result.patches_since_base.push_back({9, "id", "ann", R"({"routes":null})"});
    http::response const out = admin::to_response(result);
    CHECK(out.status == 412);
    CHECK(out.body.find(R"("version":9)") != out.body.npos);
    CHECK(out.body.find(R"("patch":{"routes":null})") != out.body.npos);
}
