#include "admission_test.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gooseberrycove;
using namespace gooseberrycove::admission;
using namespace std::chrono_literals;

namespace
{

/// A home that gets 5 charges per second, which must not run twice. Each runs
/// for 500 ms and ends in a 500 while the service that it calls fails.
struct play
{
    test::fixture f{8};
    bool are_calls_failing = false;
    bool repeatable = false;
    int step = 0;
    int sent = 0;
    int lost = 0;
    int refused = 0;

    void end_runs()
    {
        while (!f.state.in_flight.empty())
        {
            auto const& [ticket, oldest] = *f.state.in_flight.begin();
            if (oldest.request.received + 500ms > f.now)
                return;
            dispatch::finished done;
            done.ticket = ticket;
            done.result = dispatch::result_class::answered;
            done.status = are_calls_failing ? 500 : 200;
            done.latency = 500ms;
            lost += are_calls_failing ? 1 : 0;
            on_finished(f.state, std::move(done), f.now, f.out);
        }
    }
    void run(duration length)
    {
        sent = lost = refused = 0;
        for (time_point const until = f.now + length; f.now < until;
             f.now += 10ms)
        {
            end_runs();
            if (++step % 20 != 0)
                continue;
            work_request request = f.make_request(2);
            request.repeatable = repeatable;
            request.has_other_homes = true;
            std::size_t const results = f.out.results.size();
            f.submit(std::move(request));
            ++sent;
            refused += f.out.results.size() > results ? 1 : 0;
        }
    }
    bool is_failing() const
    {
        return f.state.services.at("shop").priorities[2].calls.is_failing;
    }
};

} // namespace

TEST_CASE("work whose calls fail is refused before it runs, but for trials")
{
    // Guards against charges that are lost one after the other while the
    // service that they call fails.
    play p;
    p.run(5s);
    CHECK(p.lost == 0);
    p.are_calls_failing = true;
    p.run(8s);
    INFO("sent " << p.sent << ", lost " << p.lost << ", refused " << p.refused);
    CHECK(p.is_failing());
    CHECK(p.lost < p.sent / 2);
    work_result const& last =
        std::ranges::find(p.f.out.results.rbegin(), p.f.out.results.rend(),
                          true,
                          [](addressed_result const& item)
                          { return item.result.is_service_wide; })
            ->result;
    CHECK(last.kind == error_kind::overloaded);
    CHECK(last.run_outcome == outcome::not_run);
    CHECK(last.detail == "calls_failing");
    CHECK(last.retry_after > 0ms);
    CHECK(last.retry_after <= 1s);

    p.are_calls_failing = false;
    time_point const recovered = p.f.now;
    while (p.is_failing() && p.f.now < recovered + 5s)
        p.run(100ms);
    CHECK(p.f.now - recovered <= 2s);
    p.run(5s);
    CHECK(p.refused == 0);
    CHECK(p.lost == 0);
}

TEST_CASE("repeatable work is not refused for its calls")
{
    play p;
    p.repeatable = true;
    p.are_calls_failing = true;
    p.run(8s);
    CHECK(p.refused == 0);
}

TEST_CASE("single failures after work stop nothing")
{
    call_outcomes outcomes;
    time_point now{1000s};
    for (int i = 0; i < 200; ++i, now += 250ms)
    {
        record_run(outcomes, i % 4 == 0, now - 500ms, now);
        CHECK_FALSE(outcomes.is_failing);
    }
}

TEST_CASE("failures that are long past stop nothing")
{
    call_outcomes outcomes;
    time_point now{1000s};
    for (int i = 0; i < 8; ++i, now += 100ms)
        record_run(outcomes, true, now - 500ms, now);
    CHECK(outcomes.is_failing);
    CHECK(check_calls(outcomes, now));
    CHECK_FALSE(check_calls(outcomes, now + 11s));
    // A single failure later is no reason to stop again.
    CHECK(record_run(outcomes, true, now + 11s, now + 11s));
    CHECK_FALSE(check_calls(outcomes, now + 11s));
}
