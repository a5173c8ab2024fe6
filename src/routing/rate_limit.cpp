#include "rate_limit.hpp"

#include <algorithm>
#include <span>

namespace gooseberrycove::routing
{

namespace
{

float tokens_at(token_bucket const& bucket, time_point now)
{
    std::chrono::duration<float> const elapsed = now - bucket.filled_at;
    return std::min(bucket.burst,
                    bucket.tokens + elapsed.count() * bucket.rate);
}

float fill_level(token_bucket const& bucket, time_point now)
{
    if (bucket.account_key == 0 || bucket.burst <= 0)
        return 1;
    return tokens_at(bucket, now) / bucket.burst;
}

token_bucket& find_bucket(rate_limiter& limiter, std::uint64_t key, float burst,
                          time_point now)
{
    if (limiter.buckets.empty())
        limiter.buckets.resize(limiter.sets * limiter.ways);
    std::span<token_bucket> const set =
        std::span(limiter.buckets)
            .subspan(key % limiter.sets * limiter.ways, limiter.ways);
    for (token_bucket& bucket : set)
    {
        if (bucket.account_key == key)
            return bucket;
    }
    token_bucket& fullest =
        *std::max_element(set.begin(), set.end(),
                          [now](token_bucket const& a, token_bucket const& b)
                          { return fill_level(a, now) < fill_level(b, now); });
    fullest = {key, now, burst, 0, burst};
    return fullest;
}

} // namespace

std::optional<float> find_tokens(rate_limiter const& limiter,
                                 config::account_view const& account,
                                 time_point now)
{
    if (account.rate <= 0 || limiter.buckets.empty())
        return std::nullopt;
    std::uint64_t const key = hash_name(account.name) | 1;
    for (token_bucket const& bucket :
         std::span(limiter.buckets)
             .subspan(key % limiter.sets * limiter.ways, limiter.ways))
    {
        if (bucket.account_key == key)
            return tokens_at(bucket, now);
    }
    return std::nullopt;
}

bool take_token(rate_limiter& limiter, config::account_view const& account,
                time_point now)
{
    if (account.rate <= 0)
        return true;
    float const burst = std::max(1.0F, account.burst);
    // Key 0 marks an unused bucket.
    std::uint64_t const key = hash_name(account.name) | 1;
    token_bucket& bucket = find_bucket(limiter, key, burst, now);
    bucket.rate = account.rate;
    bucket.burst = burst;
    bucket.tokens = tokens_at(bucket, now);
    bucket.filled_at = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace gooseberrycove::routing
