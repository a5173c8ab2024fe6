#include "load/histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace gooseberrycove::load
{

namespace
{

constexpr unsigned sub_bucket_bits = 5;
constexpr std::uint64_t sub_bucket_count = 1U << sub_bucket_bits;

/// Each value below 2 * sub_bucket_count has its own bucket. Above that, the
/// shift halves the resolution with each power of two.
std::size_t bucket_of(std::uint64_t value)
{
    auto const width = static_cast<unsigned>(std::bit_width(value));
    unsigned const shift =
        width > sub_bucket_bits + 1 ? width - sub_bucket_bits - 1 : 0;
    return shift * sub_bucket_count + (value >> shift);
}

std::uint64_t upper_bound(std::size_t bucket)
{
    if (bucket < 2 * sub_bucket_count)
        return bucket;
    std::size_t const shift = bucket / sub_bucket_count - 1;
    std::uint64_t const leading_bits = bucket - shift * sub_bucket_count;
    return ((leading_bits + 1) << shift) - 1;
}

} // namespace

void add(histogram& counts, duration value)
{
    auto const value_us =
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.count()));
    std::size_t const bucket = bucket_of(value_us);
    if (bucket >= counts.buckets.size())
        counts.buckets.resize(bucket + 1);
    ++counts.buckets[bucket];
    ++counts.count;
    counts.max_value = std::max(counts.max_value, value);
}

duration percentile(histogram const& counts, double quantile)
{
    auto const rank = static_cast<std::uint64_t>(
        std::ceil(quantile * static_cast<double>(counts.count)));
    std::uint64_t cumulative_count = 0;
    for (std::size_t bucket = 0; bucket < counts.buckets.size(); ++bucket)
    {
        cumulative_count += counts.buckets[bucket];
        if (cumulative_count >= rank && cumulative_count > 0)
            return std::min(
                duration(static_cast<std::int64_t>(upper_bound(bucket))),
                counts.max_value);
    }
    return counts.max_value;
}

} // namespace gooseberrycove::load
