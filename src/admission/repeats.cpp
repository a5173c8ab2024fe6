#include "repeats.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

/// Part of the limit that the homes use. Which calls were made by a repeated
/// run is only known on average.
constexpr double used_part = 0.75;

std::int64_t second_of(time_point now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               now.time_since_epoch())
        .count();
}

} // namespace

void count_arrival(arrival_counts& counts, double repeat_share, time_point now)
{
    std::int64_t const second = second_of(now);
    auto& slice =
        counts.slices[static_cast<std::size_t>(second) % counts.slices.size()];
    if (slice.second != second)
        slice = {second, 0, 0};
    slice.repeats += repeat_share;
    slice.first += repeat_share < 1 ? 1 : 0;
}

bool may_repeat(arrival_counts const& counts, repeat_limit const& limit,
                std::uint32_t homes, time_point now)
{
    std::int64_t const second = second_of(now);
    std::int64_t const oldest =
        second - static_cast<std::int64_t>(counts.slices.size());
    double first = 0;
    double repeats = 0;
    for (auto const& slice : counts.slices)
    {
        if (slice.second <= oldest || slice.second > second)
            continue;
        first += slice.first;
        repeats += slice.repeats;
    }
    double const allowed =
        limit.share * first + limit.slack / std::max(1U, homes);
    return repeats + 1 <= used_part * allowed;
}

} // namespace gooseberrycove::admission
