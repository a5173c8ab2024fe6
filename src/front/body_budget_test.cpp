#include "body_budget.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::front;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t mib = std::uint64_t{1} << 20;
time_point const start = time_point() + 1h;

/// Room for seven bodies of 1 MiB and for the small ones.
body_budget make_budget()
{
    body_budget budget;
    budget.max_bytes = 8 * mib * copies_of_body;
    return budget;
}

void add(body_budget& budget, std::uint64_t body, std::string const& client,
         std::uint64_t bytes, time_point now = start)
{
    add_body(budget, body, client, now);
    set_body_bytes(budget, body, bytes, now);
}

} // namespace

TEST_CASE("a body alone is admitted over the budget, and small ones beside it")
{
    // Guards against a single upload within the limits that is refused, and
    // against one that shuts out ordinary requests.
    body_budget budget = make_budget();
    add_body(budget, 1, "a", start);
    CHECK(decide_growth(budget, 1, 64 * mib, start).is_admitted);
    set_body_bytes(budget, 1, 64 * mib, start);
    add_body(budget, 2, "a", start);
    CHECK(decide_growth(budget, 2, small_body_bytes, start).is_admitted);
    CHECK_FALSE(decide_growth(budget, 2, mib, start).is_admitted);
}

TEST_CASE("the reserve of small bodies ends")
{
    // Guards against memory that many small bodies take without a limit.
    body_budget budget = make_budget();
    add(budget, 1, "a", 7 * mib);
    complete_body(budget, 1);
    std::uint64_t admitted = 0;
    for (std::uint64_t body = 2; body < 100; ++body)
    {
        add_body(budget, body, "b", start);
        if (!decide_growth(budget, body, small_body_bytes, start).is_admitted)
            continue;
        set_body_bytes(budget, body, small_body_bytes, start);
        ++admitted;
    }
    CHECK(admitted == mib / small_body_bytes);
    CHECK(budget.held_bytes == budget.max_bytes);
}

TEST_CASE("bodies give way in a fixed order")
{
    body_budget budget = make_budget();
    for (std::uint64_t body = 1; body <= 7; ++body)
        add(budget, body, "client " + std::to_string(body), mib, start);
    time_point const now = start + stalled_after;
    for (std::uint64_t body = 2; body <= 7; ++body)
        set_body_bytes(budget, body, mib, now);
    add_body(budget, 8, "client 8", now);

    SECTION("a stalled body to one that makes progress")
    {
        auto const decision = decide_growth(budget, 8, mib, now);
        CHECK(decision.is_admitted);
        CHECK(decision.ended == std::vector<std::uint64_t>{1});
    }
    SECTION("never one whose request may run")
    {
        complete_body(budget, 1);
        auto const decision = decide_growth(budget, 8, mib, now);
        CHECK_FALSE(decision.is_admitted);
        CHECK(decision.ended.empty());
    }
    SECTION("none when it would not make enough room")
    {
        auto const decision = decide_growth(budget, 8, 2 * mib, now);
        CHECK_FALSE(decision.is_admitted);
        CHECK(decision.ended.empty());
    }
    SECTION("one of a client with more bodies")
    {
        set_body_bytes(budget, 1, mib, now);
        remove_body(budget, 7);
        add(budget, 9, "client 6", mib, now);
        auto const decision = decide_growth(budget, 8, mib, now);
        CHECK(decision.is_admitted);
        CHECK(decision.ended == std::vector<std::uint64_t>{9});
    }
}

TEST_CASE("a body without progress is ended under pressure only")
{
    body_budget budget = make_budget();
    add(budget, 1, "a", mib, start);
    CHECK(find_overdue_bodies(budget, start + max_stall).empty());
    add(budget, 2, "a", 4 * mib, start + 1s);
    CHECK(find_overdue_bodies(budget, start + max_stall - 1ms).empty());
    CHECK(find_overdue_bodies(budget, start + max_stall) ==
          std::vector<std::uint64_t>{1});
    complete_body(budget, 1);
    CHECK(find_overdue_bodies(budget, start + max_stall).empty());
}

TEST_CASE("bodies that are gone take nothing from the budget")
{
    body_budget budget = make_budget();
    add(budget, 1, "a", 1000);
    set_body_bytes(budget, 1, mib, start);
    add(budget, 2, "a", 1000);
    remove_body(budget, 1);
    remove_body(budget, 2);
    remove_body(budget, 2);
    CHECK(budget.held_bytes == 0);
    CHECK(budget.small_held_bytes == 0);
    CHECK(budget.bodies_of_client.empty());
}
