#ifndef GOOSEBERRYCOVE_BENCH_FLOOD_POLICY_HPP
#define GOOSEBERRYCOVE_BENCH_FLOOD_POLICY_HPP

#include "flood_model.hpp"

namespace gooseberrycove::bench
{

/// Runs the decisions of admission, one home for each server, behind a model
/// of routing: each daemon picks the less loaded of two servers from the
/// statuses that it has, and tries up to three homes on "not run".
tally run_policy(service_model const& model, run_length const& length,
                 std::span<arrival const> arrivals, std::uint64_t seed);

} // namespace gooseberrycove::bench

#endif
