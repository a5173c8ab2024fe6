#include "fake_platform/json_codec.hpp"
#include <gooseberrycove/error.hpp>

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::fake_platform;
using store::status;
using decision = admission::decision;

namespace
{

time_point const start{std::chrono::hours(1)};

state make_platform()
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
    state platform = make_platform();
    CHECK(put(platform, "a", 0).result == status::ok);
    auto const reply = on_operation(
        platform,
        store::transaction{{{"a", 0}, {"b", 0}}, {{"b", "v"}}, {"a"}});
    CHECK(reply.result == status::condition_failed);
    REQUIRE(reply.rows.size() == 1);
    CHECK(reply.rows[0].value == "v");
    CHECK(platform.rows.size() == 1);
}

TEST_CASE("the version of a key also rises after its row was deleted")
{
    // A reused version would let a delayed conditional write overwrite newer
    // data.
    state platform = make_platform();
    auto const first_version = put(platform, "a", 0).rows[0].version;
    on_operation(platform, store::transaction{{}, {}, {"a"}});
    CHECK(put(platform, "a", 0).rows[0].version > first_version);
}

TEST_CASE("a scan returns the rows of one prefix in key order, page by page")
{
    state platform = make_platform();
    for (char const* key : {"p/2", "p/1", "q/1", "p/3", "o/1"})
        put(platform, key, 0);
    auto rows = on_operation(platform, store::scan_rows{"p/", "", 2}).rows;
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].key == "p/1");
    rows = on_operation(platform, store::scan_rows{"p/", "p/2", 9}).rows;
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].key == "p/3");
}

TEST_CASE("writes over the rate limit are refused until tokens are refilled")
{
    state platform = make_platform();
    for (int i = 0; i < 10; ++i)
        CHECK(on_call(platform, "d", true, start).result == decision::run);
    CHECK(on_call(platform, "d", true, start).result == decision::over_rate);
    CHECK(on_call(platform, "d", false, start).result == decision::run);
    auto const later = start + std::chrono::milliseconds(100);
    CHECK(on_call(platform, "d", true, later).result == decision::run);
    CHECK(on_call(platform, "d", true, later).result == decision::over_rate);
}

TEST_CASE(
    "each fault applies, cut_requests and cut_replies only to named clients")
{
    state platform = make_platform();
    parse_faults(R"({"cut_requests":["a"],"cut_replies":["b"]})",
                 platform.faults);
    CHECK(on_call(platform, "a", true, start).result == decision::drop);
    CHECK(on_call(platform, "b", true, start).lose_reply);
    CHECK_FALSE(on_call(platform, "c", true, start).lose_reply);
    parse_faults(R"({"mode":"slow","slow_ms":40,"lose_reply":1})",
                 platform.faults);
    CHECK(on_call(platform, "c", true, start).delay.count() == 40000);
    CHECK(on_call(platform, "c", true, start).lose_reply);
    parse_faults(R"({"mode":"down"})", platform.faults);
    CHECK(on_call(platform, "c", false, start).result == decision::down);
}

TEST_CASE("an invalid fault document leaves the active faults unchanged")
{
    faults active;
    CHECK_THROWS_AS(parse_faults(R"({"mode":"down","slow_ms":-1})", active),
                    error);
    CHECK_THROWS_AS(parse_faults(R"({"mode":"odd"})", active), error);
    CHECK(active.mode == mode::up);
}

TEST_CASE("malformed calls are refused before an operation runs")
{
    CHECK_THROWS_AS(parse_operation({"POST", "/table/transact", {}, "{"}, ""),
                    error);
    CHECK_THROWS_AS(
        parse_operation({"GET", "/table/scan", {{"limit", "0"}}, ""}, ""),
        error);
    CHECK_THROWS_AS(parse_operation({"GET", "/other", {}, ""}, ""), error);
}

TEST_CASE("a restore undoes late writes and assigns their versions again")
{
    state platform = make_platform();
    on_call(platform, "d", true, start);
    put(platform, "old", 0);
    time_point const later = start + std::chrono::seconds(5);
    on_call(platform, "d", true, later);
    put(platform, "late", 0);
    on_operation(platform,
                 store::transaction{{}, {{"old", "w"}, {"doc", "new"}}, {}},
                 "operator");
    put(platform, "old", 3);
    restore_from_copy(platform, std::chrono::seconds(2),
                      later + std::chrono::seconds(1));
    auto const late = on_operation(platform, store::get_row{"late"});
    CHECK(late.result == status::not_found);
    CHECK(late.era == 2);
    // The operator writes again; its rows follow the version of the copy.
    auto const document = on_operation(platform, store::get_row{"doc"});
    CHECK(document.rows.at(0).value == "new");
    CHECK(document.rows.at(0).version == 2);
}
