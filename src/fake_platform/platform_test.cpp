#include "fake_platform/json_codec.hpp"
#include <gooseberrycove/error.hpp>

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::fake_platform;
using store::status;
using answer = admission::answer;

namespace
{

time_point const start{std::chrono::hours(1)};

state make()
{
    return make_state(100, 10, 7, start);
}

store::reply put(state& platform, std::string key, std::uint64_t version)
{
    return on_operation(platform,
                        store::transaction{{{key, version}}, {{key, "v"}}, {}});
}

} // namespace

TEST_CASE("a transaction with one failed condition changes nothing")
{
    state platform = make();
    CHECK(put(platform, "a", 0).result == status::ok);
    auto const reply = on_operation(
        platform,
        store::transaction{{{"a", 0}, {"b", 0}}, {{"b", "v"}}, {"a"}});
    CHECK(reply.result == status::condition_failed);
    REQUIRE(reply.rows.size() == 1);
    CHECK(reply.rows[0].value == "v");
    CHECK(platform.rows.size() == 1);
}

TEST_CASE("the version of a key rises across a deletion")
{
    // A version that comes back would let a paused writer overwrite new data.
    state platform = make();
    auto const first = put(platform, "a", 0).rows[0].version;
    on_operation(platform, store::transaction{{}, {}, {"a"}});
    CHECK(put(platform, "a", 0).rows[0].version > first);
}

TEST_CASE("a scan pages through one prefix in order")
{
    state platform = make();
    for (char const* key : {"p/2", "p/1", "q/1", "p/3", "o/1"})
        put(platform, key, 0);
    auto rows = on_operation(platform, store::scan_rows{"p/", "", 2}).rows;
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].key == "p/1");
    rows = on_operation(platform, store::scan_rows{"p/", "p/2", 9}).rows;
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].key == "p/3");
}

TEST_CASE("calls over the rate of writes are refused until time passes")
{
    state platform = make();
    for (int i = 0; i < 10; ++i)
        CHECK(on_call(platform, "d", true, start).what == answer::run);
    CHECK(on_call(platform, "d", true, start).what == answer::over_rate);
    CHECK(on_call(platform, "d", false, start).what == answer::run);
    auto const later = start + std::chrono::milliseconds(100);
    CHECK(on_call(platform, "d", true, later).what == answer::run);
    CHECK(on_call(platform, "d", true, later).what == answer::over_rate);
}

TEST_CASE("faults act on the clients that they name")
{
    state platform = make();
    parse_faults(R"({"cut_requests":["a"],"cut_replies":["b"]})",
                 platform.faults);
    CHECK(on_call(platform, "a", true, start).what == answer::none);
    CHECK(on_call(platform, "b", true, start).lose_reply);
    CHECK_FALSE(on_call(platform, "c", true, start).lose_reply);
    parse_faults(R"({"mode":"slow","slow_ms":40,"lose_reply":1})",
                 platform.faults);
    CHECK(on_call(platform, "c", true, start).delay.count() == 40000);
    CHECK(on_call(platform, "c", true, start).lose_reply);
    parse_faults(R"({"mode":"down"})", platform.faults);
    CHECK(on_call(platform, "c", false, start).what == answer::down);
}

TEST_CASE("a bad fault leaves the faults in force as they were")
{
    faults in_force;
    CHECK_THROWS_AS(parse_faults(R"({"mode":"down","slow_ms":-1})", in_force),
                    error);
    CHECK_THROWS_AS(parse_faults(R"({"mode":"odd"})", in_force), error);
    CHECK(in_force.mode == mode::up);
}

TEST_CASE("malformed calls are refused before they run")
{
    CHECK_THROWS_AS(parse_operation({"POST", "/table/transact", {}, "{"}, ""),
                    error);
    CHECK_THROWS_AS(
        parse_operation({"GET", "/table/scan", {{"limit", "0"}}, ""}, ""),
        error);
    CHECK_THROWS_AS(parse_operation({"GET", "/other", {}, ""}, ""), error);
}
