#include "check/read_history.hpp"
#include "check/rules.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <sstream>

using namespace gooseberrycove;
using namespace gooseberrycove::check;

namespace
{

/// A history without violations: repeatable and keyed work, a replayed
/// response, a refusal, a drain, a graceful stop and a patch.
std::string const valid_history = R"({"event":"begin","server":"s1","time_us":1}
{"event":"version","daemon":"d1","version":1,"time_us":5}
{"event":"version","daemon":"d2","version":1,"time_us":5}
{"event":"request","request":"r1","address":"a1","time_us":10}
{"event":"start","request":"r1","server":"s1","time_us":11}
{"event":"finish","request":"r1","server":"s1","time_us":20}
{"event":"response","request":"r1","address":"a1","outcome":"ran","complete":true,"own":true,"time_us":21}
{"event":"request","request":"r2","key":"k","address":"a1","time_us":30}
{"event":"start","request":"r2","key":"k","server":"s1","time_us":31}
{"event":"finish","request":"r2","key":"k","server":"s1","time_us":40}
{"event":"response","request":"r2","key":"k","address":"a1","outcome":"unknown","reason":"lost","time_us":41}
{"event":"request","request":"r3","key":"k","address":"a2","time_us":50}
{"event":"response","request":"r3","key":"k","address":"a2","outcome":"ran","complete":true,"own":true,"time_us":51}
{"event":"request","request":"r4","address":"a1","time_us":60}
{"event":"refused","request":"r4","server":"s1","reason":"queue_full","time_us":61}
{"event":"response","request":"r4","address":"a1","outcome":"not_run","complete":true,"own":true,"time_us":62}
{"event":"accepted","version":2,"time_us":100}
{"event":"version","daemon":"d1","version":2,"time_us":200}
{"event":"version","daemon":"d2","version":2,"time_us":3000099}
{"event":"ejections","daemon":"d1","service":"c","healthy_slots":8,"floor_slots":8,"ejected":1,"time_us":3000100}
{"event":"request","request":"r5","address":"a1","time_us":3000200}
{"event":"daemon_stop","daemon":"d1","address":"a1","graceful":true,"time_us":3000201}
{"event":"start","request":"r5","server":"s1","time_us":3000202}
{"event":"finish","request":"r5","server":"s1","time_us":3000204}
{"event":"response","request":"r5","address":"a1","outcome":"ran","complete":true,"own":true,"time_us":3000205}
{"event":"draining","server":"s1","time_us":4000000}
{"event":"start","request":"r6","server":"s1","arrived_us":5999999,"time_us":6000001}
{"event":"finish","request":"r6","server":"s1","time_us":6000002}
{"event":"exit","server":"s1","time_us":7000000}
)";

/// Names of the violated rules, in order, each with the description of its
/// first violation.
std::string first_violations(std::string const& history)
{
    std::vector<evidence::record> records;
    std::istringstream in(history);
    read_history("planted", in, records);
    sort_by_time(records);
    std::string result;
    for (rule const& item : all_rules())
    {
        findings const found = item.check(records, {});
        if (!found.violations.empty())
            result += std::string(item.name) + ": " +
                      found.violations.front().description + ";";
    }
    return result;
}

} // namespace

TEST_CASE(
    "a history without violations passes, and every rule examines some of it")
{
    CHECK(first_violations(valid_history).empty());
    std::vector<evidence::record> records;
    std::istringstream in(valid_history);
    read_history("clean", in, records);
    for (rule const& item : all_rules())
        CHECK(item.check(records, {}).examined > 0);
}

TEST_CASE(
    "each violation is found by the rule of its invariant, and by no other")
{
    std::map<std::string, std::string> const cases{
        {R"({"event":"ejections","healthy_slots":7,"floor_slots":8,"ejected":1})",
         "I1: ejections left 7 healthy slots, the floor is 8;"},
        {R"({"event":"response","request":"r1","outcome":"ran"})",
         "I2: one request has several responses;"},
        {R"({"event":"response","request":"r9","outcome":"unknown"})",
         "I2: the response answers no request;"},
        {R"({"event":"request","request":"r9"}
{"event":"response","request":"r9","outcome":"ran","complete":true})",
         "I2: no backend server has run the answered request;"},
        {R"({"event":"request","request":"r9"}
{"event":"response","request":"r9","outcome":"unknown","complete":false})",
         "I2: the response is not whole;"},
        {R"({"event":"request","request":"r9"}
{"event":"response","request":"r9","outcome":"unknown","own":false})",
         "I2: the response is another request's;"},
        {R"({"event":"start","request":"r4","server":"s2"})",
         "I3: the request was reported not run, but it ran;"},
        {R"({"event":"start","request":"r9","key":"k","server":"s2"})",
         "I4: non-repeatable work ran several times;"},
        {R"({"event":"refused","server":"s1","time_us":6000001})",
         "I5: a leaving server got new work;"},
        {R"({"event":"start","request":"r9","server":"s1","time_us":50})",
         "I6: a backend server left with unfinished work;"},
        {R"({"event":"request","request":"r9","address":"a1","time_us":3000199}
{"event":"response","request":"r9","address":"a1","outcome":"unknown","reason":"lost","time_us":3000300})",
         "I6: a graceful stop of a daemon cut off a request;"},
        {R"({"event":"version","daemon":"d2","version":1,"time_us":3000200})",
         "I7: a daemon went back to an older version;"},
        {R"({"event":"version","daemon":"d3","version":1,"time_us":3000200})",
         "I7: an accepted version is not in force within the bound;"},
        {R"({"event":"version","daemon":"d3","version":1,"time_us":50})",
         "I7: an accepted version was never seen in force;"},
        {R"({"event":"accepted","version":2,"time_us":3000099})",
         "I7: two patches were accepted as the same version;"},
        {R"({"event":"lost","status":3})",
         "H: records were dropped by a full ring;"},
    };
    for (auto const& [lines, expected] : cases)
        CHECK(first_violations(valid_history + lines + "\n") == expected);
}

TEST_CASE("a server that was started again or undrained may receive work")
{
    CHECK(first_violations(valid_history +
                           R"({"event":"begin","server":"s1","time_us":8000000}
{"event":"refused","server":"s1","time_us":9000000}
)")
              .empty());
    CHECK(first_violations(R"({"event":"drain","server":"s1","time_us":1}
{"event":"undrain","server":"s1","time_us":2}
{"event":"refused","server":"s1","time_us":9000000}
)")
              .empty());
}

TEST_CASE(
    "a daemon that was stopped gets the full time limit again, but no more")
{
    // Guards against a rule that reports a frozen daemon, and against one that
    // no longer examines a daemon after a stop.
    std::string const stopped_history =
        R"({"event":"version","daemon":"d1","version":1,"time_us":1}
{"event":"daemon_stop","daemon":"d1","graceful":false,"time_us":10}
{"event":"accepted","version":2,"time_us":20}
{"event":"daemon_start","daemon":"d1","time_us":5000000}
)";
    auto const version_record = [](int version, int time_us)
    {
        return fmt::format(
            "{{\"event\":\"version\",\"daemon\":\"d1\",\"version\":{},"
            "\"time_us\":{}}}\n",
            version, time_us);
    };
    CHECK(first_violations(stopped_history + version_record(1, 7999999) +
                           version_record(2, 8000001))
              .empty());
    CHECK(first_violations(stopped_history + version_record(1, 8000001)) ==
          "I7: an accepted version is not in force within the bound;");
}

TEST_CASE("an invalid line is reported with its number, and an incomplete last "
          "line is ignored")
{
    std::vector<evidence::record> records;
    std::istringstream incomplete("{\"event\":\"exit\"}\n{\"event\":\"ex");
    read_history("h", incomplete, records);
    CHECK(records.size() == 1);
    std::istringstream invalid("{\"event\":\"exit\"}\n{\"event\":\"ex\n");
    CHECK_THROWS_WITH(read_history("h", invalid, records),
                      Catch::StartsWith("h:2"));
}
