#include "evidence/response_body.hpp"
#include "load/plan.hpp"
#include "load/summary.hpp"
#include <gooseberrycove/settings.hpp>

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::load;

namespace
{

time_point const start(duration(1'000'000));

plan_options make_options(std::string_view streams)
{
    return {.targets = {"127.0.0.1:1", "127.0.0.1:2"},
            .streams = parse_streams(streams),
            .length = duration(10'000'000),
            .seed = 7,
            .retries = 1,
            .reconnect = true};
}

transfer_result make_result(transfer const& what, std::string_view request)
{
    transfer_result result;
    result.ticket = what.ticket;
    result.end = transfer_end::complete;
    result.status = 200;
    result.outcome = "ran";
    result.request = what.request;
    result.body = evidence::make_response_body(
        {std::string(request), "cat-1", "catalogue", 1}, 10);
    return result;
}

} // namespace

TEST_CASE("stream faults name the stream and what is allowed")
{
    CHECK(parse_streams("a:5:GET:/x?size=3:true:100 b:1:POST:/y:false:0")
              .size() == 2);
    for (char const* bad :
         {"", "a:5:GET:/x:true", "a:0:GET:/x:true:1", "a:5:GET:x:true:1",
          "a:5:GET:/x:yes:1", "a:5:GET:/x:true:z"})
        CHECK_THROWS_AS(parse_streams(bad), settings_error);
}

TEST_CASE("percentiles are at most a bucket above the exact value")
{
    histogram counts;
    CHECK(percentile(counts, 0.5) == duration(0));
    for (int value = 1; value <= 100'000; ++value)
        add(counts, duration(value));
    for (double const quantile : {0.01, 0.5, 0.99})
    {
        auto const exact = static_cast<std::int64_t>(quantile * 100'000);
        std::int64_t const seen = percentile(counts, quantile).count();
        CHECK(seen >= exact);
        CHECK(seen <= exact + exact / 32);
    }
    CHECK(percentile(counts, 1) == duration(100'000));
}

TEST_CASE("arrivals follow the rate and are the same for the same seed")
{
    auto const run = []
    {
        plan_state plan = make_plan(make_options("a:100:GET:/x:true:0"), start);
        plan_actions out;
        on_time(plan, start + duration(20'000'000), out);
        return out;
    };
    plan_actions const first = run();
    // 1000 expected with a standard deviation of 32.
    CHECK(first.transfers.size() > 850);
    CHECK(first.transfers.size() < 1150);
    CHECK(first.transfers.back().request == run().transfers.back().request);
    CHECK(first.transfers[0].target != first.transfers[1].target);
}

TEST_CASE("an unknown outcome is repeated with the same key and body")
{
    plan_state plan = make_plan(make_options("a:1:POST:/x:false:100"), start);
    plan_actions out;
    on_time(plan, plan.arrivals[0].next, out);
    transfer const first = out.transfers.at(0);
    CHECK_FALSE(first.key.empty());
    transfer_result lost;
    lost.ticket = first.ticket;
    on_result(plan, lost, start, out);
    plan_actions again;
    on_time(plan, start + retry_pause, again);
    transfer const second = again.transfers.at(0);
    CHECK(second.key == first.key);
    CHECK(second.body == first.body);
    CHECK(second.request != first.request);
    CHECK(second.target != first.target);

    SECTION("the recorded response to the first attempt is its own")
    {
        on_result(plan, make_result(second, first.request), start, again);
        CHECK(plan.totals[0].ran == 1);
        CHECK(plan.totals[0].wrong == 0);
    }
    SECTION("another request's response is foreign")
    {
        on_result(plan, make_result(second, "another"), start, again);
        CHECK(again.records.back().own == false);
        CHECK(count_wrong(plan) == 1);
    }
    SECTION("the last repeat ends as unknown")
    {
        lost.ticket = second.ticket;
        on_result(plan, lost, start, again);
        CHECK(plan.totals[0].unknown == 1);
        CHECK(plan.repeats.empty());
    }
}

TEST_CASE("work that could not be sent is tried once at each target")
{
    plan_state plan = make_plan(make_options("a:1:GET:/x:true:100"), start);
    plan_actions out;
    on_time(plan, plan.arrivals[0].next, out);
    time_point const now = plan.arrivals[0].next - duration(1);
    transfer_result gone;
    gone.end = transfer_end::not_sent;
    for (std::size_t attempt : {0, 1})
    {
        gone.ticket = out.transfers.at(attempt).ticket;
        on_result(plan, gone, now, out);
        on_time(plan, now, out);
    }
    CHECK(out.transfers.size() == 2);
    CHECK(out.transfers[0].target != out.transfers[1].target);
    CHECK(plan.totals[0].moved == 1);
    CHECK(plan.totals[0].not_run == 1);
}

TEST_CASE("each end of a transfer has its outcome")
{
    std::vector<std::string> const ids{"r1"};
    transfer what;
    what.request = "r1";
    transfer_result result = make_result(what, "r1");
    CHECK(judge(result, ids).result == outcome::ran);
    CHECK_FALSE(is_wrong(judge(result, ids)));
    result.body.resize(20);
    CHECK(is_wrong(judge(result, ids)));
    result.outcome = "not_run";
    result.body = R"({"request_id":"r2"})";
    CHECK(is_wrong(judge(result, ids)));
    result.body = R"({"request_id":"r1"})";
    CHECK_FALSE(is_wrong(judge(result, ids)));
    CHECK(judge(result, ids).result == outcome::not_run);
    result.end = transfer_end::not_sent;
    CHECK(judge(result, ids).result == outcome::not_run);
    result.end = transfer_end::lost;
    CHECK(judge(result, ids).result == outcome::unknown);
    CHECK_FALSE(is_wrong(judge(result, ids)));
    result.end = transfer_end::cut;
    CHECK(is_wrong(judge(result, ids)));
}
