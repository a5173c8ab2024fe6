#include "documents.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;

namespace
{

std::string fault_of(std::string_view body)
{
    try
    {
        admin::read_announcement(body);
    }
    catch (error const& fault)
    {
        return fault.what();
    }
    return {};
}

} // namespace

TEST_CASE("an announcement names the member that is wrong")
{
    struct row
    {
        char const* body;
        char const* fault;
    };
    std::vector<row> const rows{
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
    for (row const& item : rows)
    {
        INFO(item.body);
        CHECK(fault_of(item.body) == item.fault);
    }
}

TEST_CASE("If-Match takes one version and nothing else")
{
    CHECK(admin::read_version("\"17\"") == 17);
    CHECK(admin::read_version("17") == 17);
    CHECK_THROWS_AS(admin::read_version("W/\"17\""), error);
    CHECK_THROWS_AS(admin::read_version(""), error);
    CHECK_THROWS_AS(admin::read_version("*"), error);
}

TEST_CASE("a stale patch shows the version in force and what changed since")
{
    config::patch_result outcome;
    outcome.kind = error_kind::stale_version;
    outcome.version = 9;
    outcome.patches_since_base.push_back(
        {9, "id", "ann", R"({"routes":null})"});
    http::response const out = admin::to_response(outcome);
    CHECK(out.status == 412);
    CHECK(out.body.find(R"("version":9)") != out.body.npos);
    CHECK(out.body.find(R"("patch":{"routes":null})") != out.body.npos);
}
