#include "evidence/history.hpp"
#include "evidence/response_body.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace gooseberrycove;
using namespace gooseberrycove::evidence;

TEST_CASE("a record survives a round trip")
{
    record what;
    what.event = "response";
    what.key = "k \"1\"";
    what.status = 502;
    what.time_us = 123456789012;
    what.complete = false;
    std::string const line = to_json(what);
    CHECK(line == R"({"event":"response","key":"k \"1\"","status":502,)"
                  R"("time_us":123456789012,"complete":false})");
    CHECK(to_json(parse_record(line)) == line);
    CHECK_THROWS_AS(parse_record(line.substr(0, 20)), std::invalid_argument);
    CHECK_THROWS_AS(parse_record(R"({"key":"k"})"), std::invalid_argument);
}

TEST_CASE("the history duty writes every queued record before it ends")
{
    history_inbox records(4);
    CHECK(records.try_push(parse_record(R"({"event":"start"})")));
    CHECK(records.try_push(parse_record(R"({"event":"finish"})")));
    records.close();
    std::ostringstream out;
    write_history(records, out);
    CHECK(out.str() == "{\"event\":\"start\"}\n{\"event\":\"finish\"}\n");
}

TEST_CASE("a cut or altered body is not taken for a whole one")
{
    std::string const body =
        make_answer_body({"id1", "cat-1", "catalogue", 7}, 100);
    auto const whole = read_answer_body(body);
    REQUIRE(whole);
    CHECK(whole->request_id == "id1");
    CHECK(whole->sequence == 7);
    CHECK_FALSE(read_answer_body(body.substr(0, body.size() / 2)));
    std::string altered = body;
    altered.replace(altered.find("id1"), 3, "id2");
    CHECK_FALSE(read_answer_body(altered));
    CHECK_FALSE(read_answer_body("{}"));
}
