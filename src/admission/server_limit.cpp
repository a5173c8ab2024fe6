#include "server_limit.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

/// The bucket holds the requests of this time, but at least min_burst. In any 4
/// s a server gets 5 times its limit at most, which leaves a margin to the 6
/// times that the platform allows.
constexpr double burst_seconds = 1;
constexpr double min_burst = 2;

/// Least rate in requests per second. Without any request, the home would not
/// learn that a limit of 0 has ended.
constexpr double min_rate = 0.25;

double refilled_tokens(server_limit const& limit, time_point now)
{
    double const rate = limit.statement.rate_limit;
    double const elapsed_s =
        std::chrono::duration<double>(now - limit.refilled_at).count();
    return std::min(std::max(min_burst, burst_seconds * rate),
                    limit.tokens + rate * std::max(0.0, elapsed_s));
}

void set_rate(server_limit& limit, double rate, time_point now)
{
    // An empty bucket at the start: the requests in flight have just been sent.
    limit.tokens = has_rate_limit(limit) ? refilled_tokens(limit, now) : 0;
    limit.refilled_at = now;
    limit.statement.rate_limit = rate;
}

} // namespace

bool on_answer(server_limit& limit, dispatch::answer_statement const& answer,
               std::uint64_t incarnation, time_point began, time_point now)
{
    if (answer.is_malformed)
        return false;
    server_statement const previous = limit.statement;
    if (answer.rate_limit)
    {
        set_rate(limit, std::max(min_rate, *answer.rate_limit), now);
        limit.named_at = now;
    }
    else if (began > limit.named_at)
        limit.statement.rate_limit = 0;
    limit.statement.is_leaving |= answer.is_leaving;
    limit.statement.is_known |= has_rate_limit(limit) || answer.is_leaving;
    limit.statement.incarnation = incarnation;
    return previous.rate_limit != limit.statement.rate_limit ||
           previous.is_leaving != limit.statement.is_leaving;
}

bool on_reported_statement(server_limit& limit,
                           server_statement const& reported,
                           std::uint64_t incarnation, time_point now)
{
    // Without an incarnation, this start of the server cannot be told from
    // another one.
    if (!reported.is_known || incarnation == 0 ||
        reported.incarnation != incarnation)
        return false;
    bool const is_newly_leaving =
        reported.is_leaving && !limit.statement.is_leaving;
    bool const is_limit_new =
        reported.rate_limit > 0 && !limit.statement.is_known;
    if (is_limit_new)
    {
        set_rate(limit, std::max(min_rate, reported.rate_limit), now);
        limit.named_at = now;
    }
    limit.statement.is_leaving |= reported.is_leaving;
    limit.statement.is_known |= is_limit_new || is_newly_leaving;
    limit.statement.incarnation = incarnation;
    return is_limit_new || is_newly_leaving;
}

bool has_rate_limit(server_limit const& limit)
{
    return limit.statement.rate_limit > 0;
}

duration time_to_start(server_limit const& limit, std::uint32_t queued,
                       time_point now)
{
    if (!has_rate_limit(limit))
        return duration(0);
    double const missing = queued + 1 - refilled_tokens(limit, now);
    if (missing <= 0)
        return duration(0);
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>(missing / limit.statement.rate_limit));
}

void count_start(server_limit& limit, time_point now)
{
    if (!has_rate_limit(limit))
        return;
    limit.tokens = refilled_tokens(limit, now) - 1;
    limit.refilled_at = now;
}

} // namespace gooseberrycove::admission
