#ifndef GOOSEBERRYCOVE_ROUTING_RATE_LIMIT_HPP
#define GOOSEBERRYCOVE_ROUTING_RATE_LIMIT_HPP

#include <gooseberrycove/config.hpp>

#include <cstdint>
#include <vector>

namespace gooseberrycove::routing
{

struct token_bucket
{
    std::uint64_t account = 0;
    time_point filled;
    float tokens = 0;
    float rate = 0;
    float burst = 0;
};

/// Token buckets in a set-associative table. 540,000 accounts do not fit the
/// memory for control, so an account that needs room replaces the fullest
/// bucket of its set: a full bucket holds no information.
struct rate_limiter
{
    static constexpr std::size_t ways = 8;
    static constexpr std::size_t sets = 4096;
    std::vector<token_bucket> buckets;
};

/// Takes one token of \p account; false when the bucket is empty. The rate
/// applies to this daemon alone.
bool take_token(rate_limiter& limiter, config::account_view const& account,
                time_point now);

} // namespace gooseberrycove::routing

#endif
