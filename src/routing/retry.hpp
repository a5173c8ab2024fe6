#ifndef GOOSEBERRYCOVE_ROUTING_RETRY_HPP
#define GOOSEBERRYCOVE_ROUTING_RETRY_HPP

#include <gooseberrycove/recent_seconds.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace gooseberrycove::routing
{

struct request_counts
{
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
    std::uint32_t hedges = 0;

    request_counts& operator+=(request_counts const& other);
};

/// Counts of one service.
using retry_budget = recent_seconds<request_counts>;

void count_request(retry_budget& budget, time_point now);

/// Takes one retry from the budget, which is 10% of recent requests and at
/// least 3 in 10 s. Returns false when the budget is used up.
bool take_retry(retry_budget& budget, time_point now);

/// Takes one hedge from the budget, which is 5% of recent requests and within
/// the retry budget. Returns false when the budget is used up.
bool take_hedge(retry_budget& budget, time_point now);

/// Replies of homes to attempts that a service's retry limit covers.
struct retry_replies
{
    struct reply
    {
        time_point at;
        bool is_refused = false;
        time_point room_at;
    };
    std::map<std::uint64_t, reply> homes;
};

/// Records the last reply of \p home and removes those older than 1 s.
/// \param is_refused   the home refused because the limit is used up
/// \param retry_after  when the home expects room; zero when not told
void record_retry_reply(retry_replies& replies, std::uint64_t home,
                        bool is_refused, duration retry_after, time_point now);

/// When the limit is expected to have room, if it is used up: at least 3 homes,
/// and half of those that replied in the last second, have refused because of
/// it.
std::optional<time_point> retry_room(retry_replies const& replies,
                                     time_point now);

/// Decaying histogram of the latencies of successful attempts. Its buckets are
/// 25% apart, which is precise enough for a hedging delay.
struct latency_histogram
{
    std::array<float, 64> counts{};
    float total = 0;
};

void add_latency(latency_histogram& histogram, duration latency);

/// Upper edge of the bucket that holds the 95th percentile; std::nullopt below
/// 20 samples, where that percentile is not defined.
std::optional<duration> percentile_95(latency_histogram const& histogram);

} // namespace gooseberrycove::routing

#endif
