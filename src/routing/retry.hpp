#ifndef GOOSEBERRYCOVE_ROUTING_RETRY_HPP
#define GOOSEBERRYCOVE_ROUTING_RETRY_HPP

#include <gooseberrycove/types.hpp>

#include <array>
#include <cstdint>
#include <optional>

namespace gooseberrycove::routing
{

/// Counts of one service over the last 10 s, in slices of 1 s.
struct retry_budget
{
    struct counts
    {
        std::int64_t second = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
        std::uint32_t hedges = 0;
    };
    std::array<counts, 10> slices;
};

void count_request(retry_budget& budget, time_point now);

/// Takes one retry: 10% of recent requests, at least 3 in 10 s.
bool take_retry(retry_budget& budget, time_point now);

/// Takes one hedge: at most 5% of recent requests, and within the retry
/// budget.
bool take_hedge(retry_budget& budget, time_point now);

/// Decaying histogram of answered latencies with buckets 25% apart, which is
/// precise enough for a hedging delay.
struct latency_histogram
{
    std::array<float, 64> counts{};
    float total = 0;
};

void add_latency(latency_histogram& histogram, duration latency);

/// Upper edge of the bucket that holds the 95th percentile; nothing below 20
/// samples, where that percentile is not defined.
std::optional<duration> percentile_95(latency_histogram const& histogram);

} // namespace gooseberrycove::routing

#endif
