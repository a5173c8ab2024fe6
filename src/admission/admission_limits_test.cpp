#include "admission_test.hpp"

#include <catch2/catch.hpp>

#include <optional>

using namespace gooseberrycove;
using namespace gooseberrycove::admission;
using namespace gooseberrycove::admission::test;
using namespace std::chrono_literals;

namespace
{

/// A home whose part of the retry limit is 10 in 10 s.
fixture make_limited_home(std::uint32_t slots)
{
    fixture f(slots);
    service_policy policy = f.state.policies.at("shop");
    policy.retry_limit = retry_allowance{0, 10};
    on_policy(f.state, policy, f.now, f.out);
    return f;
}

work_request make_retry(fixture& f)
{
    work_request request = f.make_request(2);
    request.is_retry = true;
    request.retry_weight = 1;
    return request;
}

} // namespace

TEST_CASE("queued retries count in the retry limit before they start")
{
    fixture f = make_limited_home(1);
    f.submit(f.make_request(2));
    for (int i = 0; i < 20; ++i)
        f.submit(make_retry(f));
    CHECK(f.state.servers.at("s1").queued <= 10);
}

TEST_CASE("calls made by retried runs are refused above the retry limit")
{
    fixture f = make_limited_home(40);
    for (int i = 0; i < 20; ++i)
    {
        work_request call = f.make_request(0);
        call.retry_weight = 1;
        f.submit(std::move(call));
    }
    REQUIRE(f.out.starts.size() <= 10);
    CHECK(f.last_kind() == error_kind::overloaded);
    f.submit(f.make_request(0));
    CHECK(f.out.starts.back().request.retry_weight == 0);
}

TEST_CASE("during a shutdown a home runs only work that can end before it")
{
    fixture f(1);
    f.serve(20, 2, 400ms);
    f.out = {};
    std::uint64_t const running = f.submit(f.make_request(2));
    std::uint64_t const queued = f.submit(f.make_request(2));
    on_shutdown_notice(f.state, {f.now + 1500ms}, f.now, f.out);
    CHECK(f.started() == fixture::ids{running});
    f.finish(dispatch::result_class::answered, 400ms);
    CHECK(f.started() == fixture::ids{running, queued});
    f.finish(dispatch::result_class::answered, 400ms);
    f.submit(f.make_request(2, 20s));
    CHECK(f.started().size() == 3);
    f.submit(f.make_request(2, 20s));
    CHECK(f.last_kind() == error_kind::draining);
    CHECK(f.out.results.back().result.run_outcome == outcome::not_run);
}

TEST_CASE("a shutdown returns queued work that could not end any more")
{
    fixture f(1);
    f.serve(20, 2, 400ms);
    f.out = {};
    f.submit(f.make_request(2));
    f.submit(f.make_request(2));
    on_shutdown_notice(f.state, {f.now + 600ms}, f.now, f.out);
    f.now += 300ms;
    on_tick(f.state, f.now, f.out);
    REQUIRE(f.out.results.size() == 1);
    CHECK(f.last_kind() == error_kind::draining);
}

namespace
{

/// Ends the oldest request in flight with an answer that names a limit.
void finish_naming(fixture& f, std::optional<double> limit,
                   bool leaving = false, int status = 200)
{
    dispatch::finished done;
    done.ticket = f.state.in_flight.begin()->first;
    done.result = dispatch::result_class::answered;
    done.status = status;
    done.latency = 10ms;
    done.statement = dispatch::answer_statement{limit, leaving, false};
    f.now += 10ms;
    on_finished(f.state, std::move(done), f.now, f.out);
}

} // namespace

TEST_CASE("work beyond a server's limit goes to other homes or waits in time")
{
    fixture f(4);
    f.submit(f.make_request(2));
    finish_naming(f, 2);
    f.out = {};
    work_request elsewhere = f.make_request(2);
    elsewhere.has_other_homes = true;
    f.submit(std::move(elsewhere));
    CHECK(f.last_kind() == error_kind::overloaded);
    CHECK(f.out.results.back().result.retry_after == 500ms);
    // The last home queues what can still meet its target of 1 s.
    f.submit(f.make_request(2));
    CHECK(f.state.servers.at("s1").queued == 1);
    f.submit(f.make_request(2));
    CHECK(f.last_kind() == error_kind::overloaded);
    CHECK(f.out.results.back().result.retry_after == 1s);
    f.submit(f.make_request(2, 1s));
    CHECK(f.last_kind() == error_kind::deadline_unmet);
    CHECK(f.out.starts.empty());
    f.now += 500ms;
    on_tick(f.state, f.now, f.out);
    CHECK(f.out.starts.size() == 1);
}

TEST_CASE("a refusal by a server with a limit is no evidence of a fault")
{
    fixture f(4);
    f.submit(f.make_request(2));
    f.submit(f.make_request(2));
    finish_naming(f, 20);
    double const before = f.state.servers.at("s1").failure.probability;
    std::size_t const samples = f.out.samples.size();
    dispatch::finished refused;
    refused.ticket = f.state.in_flight.begin()->first;
    refused.result = dispatch::result_class::refused_not_run;
    refused.status = 503;
    refused.latency = 1ms;
    refused.statement = dispatch::answer_statement{20, false, false};
    on_finished(f.state, std::move(refused), f.now, f.out);
    CHECK(f.state.servers.at("s1").failure.probability == Approx(before));
    CHECK(f.out.samples.size() == samples);
    CHECK(f.state.servers.at("s1").limit.slots == 4);
}

TEST_CASE(
    "a server that says it leaves gets nothing more, also after a restart")
{
    fixture f(1);
    f.submit(f.make_request(2));
    f.submit(f.make_request(2));
    finish_naming(f, std::nullopt, true);
    CHECK(f.out.results.front().result.kind == error_kind::draining);
    f.submit(f.make_request(2));
    CHECK(f.last_kind() == error_kind::draining);
    CHECK(f.out.starts.size() == 1);
    on_tick(f.state, f.now, f.out);
    REQUIRE(!f.out.loads.empty());
    CHECK(f.out.loads.back().is_leaving);
    server_statement const known =
        f.state.servers.at("s1").stated_limit.statement;

    fixture restarted(1);
    work_request request = restarted.make_request(2);
    request.statement = known;
    restarted.submit(std::move(request));
    CHECK(restarted.last_kind() == error_kind::draining);
    CHECK(restarted.out.starts.empty());
}
