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

/// Age up to which a reply tells whether the retry limit is used up; then
/// retries are sent again, which shows whether it has room.
constexpr duration retry_reply_age = std::chrono::seconds(1);
constexpr std::size_t min_retry_refusals = 3;
/// Assumed time until there is room when no home told it.
constexpr duration default_retry_room = std::chrono::seconds(1);

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

void record_retry_reply(retry_replies& replies, std::uint64_t home,
                        bool is_refused, duration retry_after, time_point now)
{
    std::erase_if(replies.homes, [&](auto const& item)
                  { return now - item.second.at > retry_reply_age; });
    duration const wait =
        retry_after.count() > 0 ? retry_after : default_retry_room;
    replies.homes[home] = {now, is_refused, now + wait};
}

std::optional<time_point> retry_room(retry_replies const& replies,
                                     time_point now)
{
    std::size_t asked = 0;
    std::size_t refused = 0;
    time_point room_at = time_point::max();
    for (auto const& [home, reply] : replies.homes)
    {
        if (now - reply.at > retry_reply_age)
            continue;
        ++asked;
        if (!reply.is_refused)
            continue;
        ++refused;
        room_at = std::min(room_at, reply.room_at);
    }
    if (refused < min_retry_refusals || 2 * refused < asked)
        return std::nullopt;
    return room_at;
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
