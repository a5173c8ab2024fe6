#include "retry.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::routing
{

namespace
{

constexpr float min_samples = 20;
/// At this many samples all counts are halved, so that old latencies decay.
constexpr float max_samples = 2000;
constexpr double min_edge_us = 100;
constexpr double edge_ratio = 1.25;

bool has_retry_left(request_counts const& sum)
{
    return sum.retries + sum.hedges < std::max(3U, sum.requests / 10);
}

} // namespace

request_counts& request_counts::operator+=(request_counts const& other)
{
    requests += other.requests;
    retries += other.retries;
    hedges += other.hedges;
    return *this;
}

void count_request(retry_budget& budget, time_point now)
{
    ++budget.at(now).requests;
}

bool take_retry(retry_budget& budget, time_point now)
{
    if (!has_retry_left(budget.sum(now)))
        return false;
    ++budget.at(now).retries;
    return true;
}

bool take_hedge(retry_budget& budget, time_point now)
{
    request_counts const sum = budget.sum(now);
    if (!has_retry_left(sum) || (sum.hedges + 1) * 20 > sum.requests)
        return false;
    ++budget.at(now).hedges;
    return true;
}

void add_latency(latency_histogram& histogram, duration latency)
{
    double const us =
        std::max(min_edge_us, static_cast<double>(latency.count()));
    auto const index = static_cast<std::size_t>(std::log(us / min_edge_us) /
                                                std::log(edge_ratio));
    histogram.counts[std::min(index, histogram.counts.size() - 1)] += 1;
    histogram.total += 1;
    if (histogram.total < max_samples)
        return;
    histogram.total = 0;
    for (float& count : histogram.counts)
    {
        count /= 2;
        histogram.total += count;
    }
}

std::optional<duration> percentile_95(latency_histogram const& histogram)
{
    if (histogram.total < min_samples)
        return std::nullopt;
    float cumulative = 0;
    double edge = min_edge_us;
    for (float const count : histogram.counts)
    {
        cumulative += count;
        edge *= edge_ratio;
        if (cumulative >= 0.95F * histogram.total)
            break;
    }
    return duration(static_cast<duration::rep>(edge));
}

} // namespace gooseberrycove::routing
