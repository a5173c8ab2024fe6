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
            .run_length = duration(10'000'000),
            .seed = 7,
            .max_retries = 1,
            .reconnects = true};
}

transfer_result make_result(transfer const& sent,
                            std::string_view answered_request)
{
    transfer_result result;
    result.ticket = sent.ticket;
    result.end = transfer_end::complete;
    result.status = 200;
    result.outcome = "ran";
    result.request_id = sent.request_id;
    result.body = evidence::make_response_body(
        {std::string(answered_request), "cat-1", "catalogue", 1}, 10);
    return result;
}

} // namespace

TEST_CASE("streams with a missing or invalid field are refused")
{
    CHECK(parse_streams("a:5:GET:/x?size=3:true:100 b:1:POST:/y:false:0")
              .size() == 2);
    for (char const* invalid :
         {"", "a:5:GET:/x:true", "a:0:GET:/x:true:1", "a:5:GET:x:true:1",
          "a:5:GET:/x:yes:1", "a:5:GET:/x:true:z"})
        CHECK_THROWS_AS(parse_streams(invalid), settings_error);
}

TEST_CASE("percentiles are at most one bucket above the exact value")
{
    histogram counts;
    CHECK(percentile(counts, 0.5) == duration(0));
    for (int value = 1; value <= 100'000; ++value)
        add(counts, duration(value));
    for (double const quantile : {0.01, 0.5, 0.99})
    {
        auto const exact = static_cast<std::int64_t>(quantile * 100'000);
        std::int64_t const estimate = percentile(counts, quantile).count();
        CHECK(estimate >= exact);
        CHECK(estimate <= exact + exact / 32);
    }
    CHECK(percentile(counts, 1) == duration(100'000));
}

TEST_CASE(
    "arrivals follow the configured rate and are reproducible from the seed")
{
    auto const run = []
    {
        plan_state plan = make_plan(make_options("a:100:GET:/x:true:0"), start);
        plan_actions out;
        on_time(plan, start + duration(20'000'000), out);
        return out;
    };
    plan_actions const first = run();
    // 1000 arrivals are expected with a standard deviation of 32.
    CHECK(first.transfers.size() > 850);
    CHECK(first.transfers.size() < 1150);
    CHECK(first.transfers.back().request_id ==
          run().transfers.back().request_id);
    CHECK(first.transfers[0].target != first.transfers[1].target);
}

TEST_CASE("work with an unknown outcome is retried with the same key and body")
{
    plan_state plan = make_plan(make_options("a:1:POST:/x:false:100"), start);
    plan_actions out;
    on_time(plan, plan.arrivals[0].next_arrival, out);
    transfer const first = out.transfers.at(0);
    CHECK_FALSE(first.idempotency_key.empty());
    transfer_result no_response;
    no_response.ticket = first.ticket;
    on_result(plan, no_response, start, out);
    plan_actions retried;
    on_time(plan, start + retry_delay, retried);
    transfer const second = retried.transfers.at(0);
    CHECK(second.idempotency_key == first.idempotency_key);
    CHECK(second.body == first.body);
    CHECK(second.request_id != first.request_id);
    CHECK(second.target != first.target);

    SECTION("the recorded response to the first attempt is accepted")
    {
        on_result(plan, make_result(second, first.request_id), start, retried);
        CHECK(plan.totals[0].ran == 1);
        CHECK(plan.totals[0].wrong == 0);
    }
    SECTION("the response to another request is counted as wrong")
    {
        on_result(plan, make_result(second, "another"), start, retried);
        CHECK(retried.records.back().own == false);
        CHECK(count_wrong(plan) == 1);
    }
    SECTION("work is unknown after its last retry")
    {
        no_response.ticket = second.ticket;
        on_result(plan, no_response, start, retried);
        CHECK(plan.totals[0].unknown == 1);
        CHECK(plan.pending_retries.empty());
    }
}

TEST_CASE(
    "work that could not be sent is sent once to each target, then not run")
{
    plan_state plan = make_plan(make_options("a:1:GET:/x:true:100"), start);
    plan_actions out;
    on_time(plan, plan.arrivals[0].next_arrival, out);
    time_point const now = plan.arrivals[0].next_arrival - duration(1);
    transfer_result unsent;
    unsent.end = transfer_end::not_sent;
    for (std::size_t attempt : {0, 1})
    {
        unsent.ticket = out.transfers.at(attempt).ticket;
        on_result(plan, unsent, now, out);
        on_time(plan, now, out);
    }
    CHECK(out.transfers.size() == 2);
    CHECK(out.transfers[0].target != out.transfers[1].target);
    CHECK(plan.totals[0].moved == 1);
    CHECK(plan.totals[0].not_run == 1);
}

TEST_CASE(
    "each end of a transfer is classified by outcome, and wrong responses "
    "are detected")
{
    std::vector<std::string> const ids{"r1"};
    transfer sent;
    sent.request_id = "r1";
    transfer_result result = make_result(sent, "r1");
    CHECK(classify_attempt(result, ids).run_outcome == outcome::ran);
    CHECK_FALSE(is_wrong(classify_attempt(result, ids)));
    result.body.resize(20);
    CHECK(is_wrong(classify_attempt(result, ids)));
    result.outcome = "not_run";
    result.body = R"({"request_id":"r2"})";
    CHECK(is_wrong(classify_attempt(result, ids)));
    result.body = R"({"request_id":"r1"})";
    CHECK_FALSE(is_wrong(classify_attempt(result, ids)));
    CHECK(classify_attempt(result, ids).run_outcome == outcome::not_run);
    result.end = transfer_end::not_sent;
    CHECK(classify_attempt(result, ids).run_outcome == outcome::not_run);
    result.end = transfer_end::lost;
    CHECK(classify_attempt(result, ids).run_outcome == outcome::unknown);
    CHECK_FALSE(is_wrong(classify_attempt(result, ids)));
    result.end = transfer_end::truncated;
    CHECK(is_wrong(classify_attempt(result, ids)));
}
