#include "check/read.hpp"
#include "check/rules.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <sstream>

using namespace gooseberrycove;
using namespace gooseberrycove::check;

namespace
{

/// A history that keeps every promise: repeatable and keyed work, a replayed
/// response, a refusal, a drain, a graceful stop and a patch.
std::string const clean = R"({"event":"begin","server":"s1","time_us":1}
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

/// Names of the rules that find a violation, in order, each followed by the
/// first finding.
std::string verdict(std::string const& history)
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
                      found.violations.front().what + ";";
    }
    return result;
}

} // namespace

TEST_CASE("a clean history passes, and every rule had something to examine")
{
    CHECK(verdict(clean).empty());
    std::vector<evidence::record> records;
    std::istringstream in(clean);
    read_history("clean", in, records);
    for (rule const& item : all_rules())
        CHECK(item.check(records, {}).examined > 0);
}

TEST_CASE("each planted violation is found by the rule of its invariant")
{
    std::map<std::string, std::string> const planted{
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
         "I3: the request was told not run, but it ran;"},
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
    for (auto const& [lines, expected] : planted)
        CHECK(verdict(clean + lines + "\n") == expected);
}

TEST_CASE("a server that runs again or is undrained may get work")
{
    CHECK(verdict(clean + R"({"event":"begin","server":"s1","time_us":8000000}
{"event":"refused","server":"s1","time_us":9000000}
)")
              .empty());
    CHECK(verdict(R"({"event":"drain","server":"s1","time_us":1}
{"event":"undrain","server":"s1","time_us":2}
{"event":"refused","server":"s1","time_us":9000000}
)")
              .empty());
}

TEST_CASE("a daemon that was away has the whole bound again, but no more")
{
    // Guards against a rule that blames a frozen daemon, and against one that
    // no longer examines a daemon once it was away.
    std::string const away =
        R"({"event":"version","daemon":"d1","version":1,"time_us":1}
{"event":"daemon_stop","daemon":"d1","graceful":false,"time_us":10}
{"event":"accepted","version":2,"time_us":20}
{"event":"daemon_start","daemon":"d1","time_us":5000000}
)";
    auto const shows = [](int version, int time_us)
    {
        return fmt::format(
            "{{\"event\":\"version\",\"daemon\":\"d1\",\"version\":{},"
            "\"time_us\":{}}}\n",
            version, time_us);
    };
    CHECK(verdict(away + shows(1, 7999999) + shows(2, 8000001)).empty());
    CHECK(verdict(away + shows(1, 8000001)) ==
          "I7: an accepted version is not in force within the bound;");
}

TEST_CASE("a line that is no record is named, a torn last line is ignored")
{
    std::vector<evidence::record> records;
    std::istringstream torn("{\"event\":\"exit\"}\n{\"event\":\"ex");
    read_history("h", torn, records);
    CHECK(records.size() == 1);
    std::istringstream bad("{\"event\":\"exit\"}\n{\"event\":\"ex\n");
    CHECK_THROWS_WITH(read_history("h", bad, records),
                      Catch::StartsWith("h:2"));
}
