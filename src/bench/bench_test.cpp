#include "baselines.hpp"
#include "choice_model.hpp"
#include "detection.hpp"
#include "summary.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace gooseberrycove;
using namespace gooseberrycove::bench;
using namespace std::chrono_literals;

TEST_CASE("the baselines eject at their limits and not before")
{
    consecutive_failures in_row;
    for (int i = 0; i < 4; ++i)
        CHECK_FALSE(take_sample(in_row, true, {}));
    CHECK_FALSE(take_sample(in_row, false, {}));
    for (int i = 0; i < 4; ++i)
        CHECK_FALSE(take_sample(in_row, true, {}));
    CHECK(take_sample(in_row, true, {}));

    failure_percentage share;
    time_point now{100s};
    for (int i = 0; i < 19; ++i)
        CHECK_FALSE(take_sample(share, i < 4, now));
    CHECK(take_sample(share, false, now));
    for (int i = 0; i < 19; ++i)
        CHECK_FALSE(take_sample(share, true, now));
    // The window has moved on, so the earlier failures do not count.
    CHECK_FALSE(take_sample(share, true, now + 11s));
}

TEST_CASE("a seed gives the same tables in every run")
{
    auto const tables = []
    {
        std::ostringstream text;
        run_detection({7, 1, 1, {}}, text);
        run_false_ejections({7, 1, 1, "2% failures on all"}, text);
        return text.str();
    };
    std::string const first = tables();
    CHECK(first == tables());
    CHECK(first.find("healthy server ejected") == first.npos);
}

TEST_CASE("two choices do not herd on stale reports")
{
    // Guards the choice in routing: the least loaded server of 500 ms ago
    // gets the requests of all daemons at once.
    choice_setting const setting{6, 4, 27, 0.7, 1};
    double const two =
        summarize(run_choice_model(setting, policy::two_choices, 1)).mean;
    for (policy const other : {policy::least_in_flight, policy::two_stage})
        CHECK(two < summarize(run_choice_model(setting, other, 1)).mean);
}
