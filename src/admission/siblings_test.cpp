#include "siblings.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace std::chrono_literals;

TEST_CASE("a refusal names the healthy siblings with the most free slots")
{
    // Guards against a refusal that sends a request to a server that is full,
    // failing or not heard of for seconds.
    time_point const now{1000s};
    members::service_view view{"orders", {}};
    for (std::uint64_t i = 1; i <= 9; ++i)
    {
        members::candidate one;
        one.server = "s" + std::to_string(i);
        one.slots = 5;
        one.home = {i, 1};
        one.in_flight = static_cast<std::uint32_t>(i) % 6;
        one.load_at = now - 300ms;
        view.candidates.push_back(one);
    }
    view.candidates[1].health = health_state::ejected;
    view.candidates[2].load_at = now - 2100ms;
    view.candidates[5].is_home_alive = false;
    view.candidates[6].load_at.reset();
    auto const found = admission::find_spare_siblings(view, {1, 1}, 2, now);
    REQUIRE(found.size() == 2);
    CHECK(found[0].server == "s8");
    CHECK(found[0].in_flight == 2);
    CHECK(found[0].age == 300ms);
    CHECK(found[1].server == "s9");
    CHECK(admission::find_spare_siblings(view, {1, 1}, 9, now).size() == 3);
}
