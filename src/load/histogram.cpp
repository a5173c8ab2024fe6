#include "load/histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace gooseberrycove::load
{

namespace
{

constexpr unsigned sub_bits = 5;
constexpr std::uint64_t sub_count = 1U << sub_bits;

/// Values below 2 * sub_count have a bucket each; above, the shift halves the
/// resolution with each power of two.
std::size_t bucket_of(std::uint64_t value)
{
    auto const width = static_cast<unsigned>(std::bit_width(value));
    unsigned const shift = width > sub_bits + 1 ? width - sub_bits - 1 : 0;
    return shift * sub_count + (value >> shift);
}

std::uint64_t upper_bound(std::size_t bucket)
{
    if (bucket < 2 * sub_count)
        return bucket;
    std::size_t const shift = bucket / sub_count - 1;
    std::uint64_t const top = bucket - shift * sub_count;
    return ((top + 1) << shift) - 1;
}

} // namespace

void add(histogram& to, duration value)
{
    auto const micros =
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.count()));
    std::size_t const bucket = bucket_of(micros);
    if (bucket >= to.buckets.size())
        to.buckets.resize(bucket + 1);
    ++to.buckets[bucket];
    ++to.count;
    to.maximum = std::max(to.maximum, value);
}

duration percentile(histogram const& of, double quantile)
{
    auto const wanted = static_cast<std::uint64_t>(
        std::ceil(quantile * static_cast<double>(of.count)));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < of.buckets.size(); ++bucket)
    {
        seen += of.buckets[bucket];
        if (seen >= wanted && seen > 0)
            return std::min(
                duration(static_cast<std::int64_t>(upper_bound(bucket))),
                of.maximum);
    }
    return of.maximum;
}

} // namespace gooseberrycove::load
