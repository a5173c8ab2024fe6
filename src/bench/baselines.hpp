#ifndef GOOSEBERRYCOVE_BENCH_BASELINES_HPP
#define GOOSEBERRYCOVE_BENCH_BASELINES_HPP

#include <gooseberrycove/types.hpp>

#include <deque>

namespace gooseberrycove::bench
{

/// Detector that ejects after a number of failures in a row.
struct consecutive_failures
{
    static constexpr unsigned limit = 5;
    unsigned in_row = 0;
};

/// Detector that ejects above a fixed failure percentage of a window.
struct failure_percentage
{
    static constexpr double limit = 0.2;
    static constexpr std::size_t least_samples = 20;
    static constexpr duration window = std::chrono::seconds(10);
    struct entry
    {
        time_point at;
        bool failed = false;
    };
    std::deque<entry> recent;
    std::size_t failures = 0;
};

/// Both baselines eject for a fixed time.
inline constexpr duration baseline_hold = std::chrono::seconds(30);

/// Both return true when the server is ejected, and start anew.
bool take_sample(consecutive_failures& detector, bool failed, time_point now);
bool take_sample(failure_percentage& detector, bool failed, time_point now);

} // namespace gooseberrycove::bench

#endif
