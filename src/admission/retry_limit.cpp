#include "retry_limit.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

/// Fraction of the limit that the homes use. The rest is a margin, because the
/// calls made by retried runs are only known on average.
constexpr double usable_fraction = 0.75;

} // namespace

arrivals& arrivals::operator+=(arrivals const& other)
{
    first += other.first;
    retries += other.retries;
    return *this;
}

void count_arrival(arrival_counts& counts, double retry_weight, time_point now)
{
    arrivals& present = counts.at(now);
    present.retries += retry_weight;
    present.first += retry_weight < 1 ? 1 : 0;
}

bool may_retry(arrival_counts const& counts, double queued,
               retry_allowance const& limit, std::uint32_t servers,
               time_point now)
{
    arrivals const recent = counts.sum(now);
    double const allowed =
        limit.share * recent.first + limit.slack / std::max(1U, servers);
    return recent.retries + queued + 1 <= usable_fraction * allowed;
}

} // namespace gooseberrycove::admission
