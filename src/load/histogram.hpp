#ifndef GOOSEBERRYCOVE_LOAD_HISTOGRAM_HPP
#define GOOSEBERRYCOVE_LOAD_HISTOGRAM_HPP

#include <gooseberrycove/types.hpp>

#include <cstdint>
#include <vector>

namespace gooseberrycove::load
{

/// Log-linear counts of latencies: 32 buckets for each power of two, so a
/// percentile is at most 1/32 above the exact value.
struct histogram
{
    std::vector<std::uint64_t> buckets;
    std::uint64_t count = 0;
    duration maximum{0};
};

void add(histogram& to, duration value);

/// Upper bound of the bucket that holds the share \p quantile (0 to 1) of all
/// values, but at most the maximum; zero without values.
duration percentile(histogram const& of, double quantile);

} // namespace gooseberrycove::load

#endif
