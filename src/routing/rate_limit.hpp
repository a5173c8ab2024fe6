#ifndef GOOSEBERRYCOVE_ROUTING_RATE_LIMIT_HPP
#define GOOSEBERRYCOVE_ROUTING_RATE_LIMIT_HPP

#include <gooseberrycove/config.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace gooseberrycove::routing
{

struct token_bucket
{
    std::uint64_t account_key = 0;
    time_point filled_at;
    float tokens = 0;
    float rate = 0;
    float burst = 0;
};

/// Token buckets in a set-associative table. The buckets of 540,000 accounts do
/// not fit in the memory for control data, so an account without a bucket
/// replaces the fullest bucket of its set: a full bucket holds no information.
struct rate_limiter
{
    static constexpr std::size_t ways = 8;
    static constexpr std::size_t sets = 4096;
    std::vector<token_bucket> buckets;
};

/// Takes one token of \p account; returns false when the bucket is empty. The
/// rate limit applies to each daemon separately.
bool take_token(rate_limiter& limiter, config::account_view const& account,
                time_point now);

/// Tokens in the bucket of \p account at \p now; nothing without a bucket.
std::optional<float> find_tokens(rate_limiter const& limiter,
                                 config::account_view const& account,
                                 time_point now);

} // namespace gooseberrycove::routing

#endif
