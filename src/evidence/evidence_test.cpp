#include "evidence/history.hpp"
#include "evidence/response_body.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace gooseberrycove;
using namespace gooseberrycove::evidence;

TEST_CASE("a record is unchanged after encoding and parsing")
{
    record original;
    original.event = "response";
    original.key = "k \"1\"";
    original.status = 502;
    original.time_us = 123456789012;
    original.complete = false;
    std::string const line = to_json(original);
    CHECK(line == R"({"event":"response","key":"k \"1\"","status":502,)"
                  R"("time_us":123456789012,"complete":false})");
    CHECK(to_json(parse_record(line)) == line);
    CHECK_THROWS_AS(parse_record(line.substr(0, 20)), std::invalid_argument);
    CHECK_THROWS_AS(parse_record(R"({"key":"k"})"), std::invalid_argument);
}

TEST_CASE("the history duty writes all queued records before it returns")
{
    history_inbox records(4);
    CHECK(records.try_push(parse_record(R"({"event":"start"})")));
    CHECK(records.try_push(parse_record(R"({"event":"finish"})")));
    records.close();
    std::ostringstream out;
    write_history(records, out);
    CHECK(out.str() == "{\"event\":\"start\"}\n{\"event\":\"finish\"}\n");
}

TEST_CASE("a truncated or altered response body is rejected")
{
    std::string const body =
        make_response_body({"id1", "cat-1", "catalogue", 7}, 100);
    auto const whole = parse_response_body(body);
    REQUIRE(whole);
    CHECK(whole->request_id == "id1");
    CHECK(whole->sequence == 7);
    CHECK_FALSE(parse_response_body(body.substr(0, body.size() / 2)));
    std::string altered = body;
    altered.replace(altered.find("id1"), 3, "id2");
    CHECK_FALSE(parse_response_body(altered));
    CHECK_FALSE(parse_response_body("{}"));
}
