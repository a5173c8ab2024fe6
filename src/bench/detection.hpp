#ifndef GOOSEBERRYCOVE_BENCH_DETECTION_HPP
#define GOOSEBERRYCOVE_BENCH_DETECTION_HPP

#include <cstdint>
#include <ostream>

namespace gooseberrycove::bench
{

struct detection_options
{
    std::uint64_t first_seed = 1;
    unsigned seeds = 20;
    /// Simulated time per seed in the search for false ejections.
    double healthy_minutes = 10;
};

/// Time and samples until faults are detected, as a Markdown table.
void run_detection(detection_options const& options, std::ostream& out);

/// Ejections of healthy servers per server-hour, as a Markdown table.
void run_false_ejections(detection_options const& options, std::ostream& out);

} // namespace gooseberrycove::bench

#endif
