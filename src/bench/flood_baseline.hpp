#ifndef GOOSEBERRYCOVE_BENCH_FLOOD_BASELINE_HPP
#define GOOSEBERRYCOVE_BENCH_FLOOD_BASELINE_HPP

#include "flood_model.hpp"

namespace gooseberrycove::bench
{

/// One FIFO queue at each server and least-requests routing with exact
/// knowledge. Work past its deadline is dropped before it starts and stopped
/// while it runs, which favours the baseline.
tally run_baseline(service_model const& model, run_length const& length,
                   std::span<arrival const> arrivals);

} // namespace gooseberrycove::bench

#endif
