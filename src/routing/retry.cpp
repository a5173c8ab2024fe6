#include "retry.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::routing
{

namespace
{

constexpr float min_samples = 20;
/// At this many samples all counts are halved, so old latencies fade out.
constexpr float max_samples = 2000;
constexpr double first_edge_us = 100;
constexpr double edge_ratio = 1.25;

std::int64_t second_of(time_point now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               now.time_since_epoch())
        .count();
}

retry_budget::counts& current(retry_budget& budget, time_point now)
{
    std::int64_t const second = second_of(now);
    auto& slice =
        budget.slices[static_cast<std::size_t>(second) % budget.slices.size()];
    if (slice.second != second)
        slice = {second, 0, 0, 0};
    return slice;
}

retry_budget::counts recent(retry_budget const& budget, time_point now)
{
    std::int64_t const second = second_of(now);
    std::int64_t const oldest =
        second - static_cast<std::int64_t>(budget.slices.size());
    retry_budget::counts sum;
    for (auto const& slice : budget.slices)
    {
        if (slice.second <= oldest || slice.second > second)
            continue;
        sum.requests += slice.requests;
        sum.retries += slice.retries;
        sum.hedges += slice.hedges;
    }
    return sum;
}

bool has_retry(retry_budget::counts const& sum)
{
    return sum.retries + sum.hedges < std::max(3U, sum.requests / 10);
}

} // namespace

void count_request(retry_budget& budget, time_point now)
{
    ++current(budget, now).requests;
}

bool take_retry(retry_budget& budget, time_point now)
{
    if (!has_retry(recent(budget, now)))
        return false;
    ++current(budget, now).retries;
    return true;
}

bool take_hedge(retry_budget& budget, time_point now)
{
    retry_budget::counts const sum = recent(budget, now);
    if (!has_retry(sum) || (sum.hedges + 1) * 20 > sum.requests)
        return false;
    ++current(budget, now).hedges;
    return true;
}

void add_latency(latency_histogram& histogram, duration latency)
{
    double const us =
        std::max(first_edge_us, static_cast<double>(latency.count()));
    auto const index = static_cast<std::size_t>(std::log(us / first_edge_us) /
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
    float below = 0;
    double edge = first_edge_us;
    for (float const count : histogram.counts)
    {
        below += count;
        edge *= edge_ratio;
        if (below >= 0.95F * histogram.total)
            break;
    }
    return duration(static_cast<duration::rep>(edge));
}

} // namespace gooseberrycove::routing
