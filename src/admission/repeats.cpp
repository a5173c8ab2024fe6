#include "repeats.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

/// Part of the limit that the homes use. Which calls were made by a repeated
/// run is only known on average.
constexpr double used_part = 0.75;

} // namespace

arrivals& arrivals::operator+=(arrivals const& other)
{
    first += other.first;
    repeats += other.repeats;
    return *this;
}

void count_arrival(arrival_counts& counts, double repeat_share, time_point now)
{
    arrivals& present = counts.at(now);
    present.repeats += repeat_share;
    present.first += repeat_share < 1 ? 1 : 0;
}

bool may_repeat(arrival_counts const& counts, repeat_limit const& limit,
                std::uint32_t homes, time_point now)
{
    arrivals const recent = counts.sum(now);
    double const allowed =
        limit.share * recent.first + limit.slack / std::max(1U, homes);
    return recent.repeats + 1 <= used_part * allowed;
}

} // namespace gooseberrycove::admission
