#ifndef GOOSEBERRYCOVE_LOAD_HISTOGRAM_HPP
#define GOOSEBERRYCOVE_LOAD_HISTOGRAM_HPP

#include <gooseberrycove/types.hpp>

#include <cstdint>
#include <vector>

namespace gooseberrycove::load
{

/// Log-linear histogram of latencies in microseconds. Each power of two has 32
/// buckets, so a percentile is at most 1/32 above the exact value.
struct histogram
{
    std::vector<std::uint64_t> buckets;
    std::uint64_t count = 0;
    duration max_value{0};
};

/// Counts a value; a negative one counts as zero.
void add(histogram& counts, duration value);

/// Upper bound of the bucket that holds the value at \p quantile (0 to 1), but
/// at most the largest value; zero for an empty histogram.
duration percentile(histogram const& counts, double quantile);

} // namespace gooseberrycove::load

#endif
