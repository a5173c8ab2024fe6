#ifndef GOOSEBERRYCOVE_BENCH_FLOOD_HPP
#define GOOSEBERRYCOVE_BENCH_FLOOD_HPP

#include "flood_model.hpp"

#include <iosfwd>

namespace gooseberrycove::bench
{

/// Aims of section 1.7 of the design; bounds that are never moved.
inline constexpr double aim_urgent_in_target = 0.995;
inline constexpr double aim_rest_used = 0.95;
inline constexpr double aim_share_kept = 0.95;
inline constexpr double aim_useful = 0.95;

/// Measures of one run, each as a part of 1.
struct flood_measures
{
    /// Urgent work answered within its target.
    double urgent_in_target = 0;
    /// Useful use of the capacity that urgent work leaves.
    double rest_used = 0;
    /// Smallest share kept by another priority, relative to its minimum.
    double share_kept = 0;
    /// Useful urgent work in the capacity that the others leave.
    double urgent_fills = 0;
    /// Useful work in the whole capacity.
    double useful = 0;
};

flood_measures measure(tally const& sum, service_model const& flood,
                       run_length const& length);

struct flood_options
{
    std::uint64_t first_seed = 1;
    std::uint64_t seeds = 20;
    run_length length;
};

/// Runs both floods for both deployments and prints Markdown tables. Returns
/// the number of aims that a median or worst run of the policy misses.
int run_flood(std::ostream& out, flood_options const& options);

} // namespace gooseberrycove::bench

#endif
