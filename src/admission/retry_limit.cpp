#include "retry_limit.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

/// Fraction of the limit that retries may use. The rest is for calls that
/// retried runs have yet to make.
constexpr double retry_fraction = 0.75;

/// Fraction of the limit that may be used at all. The margin covers the weights
/// of calls, which are averages over the runs of a VM.
constexpr double usable_fraction = 0.95;

/// Time that the limit is about.
constexpr duration limit_window = std::chrono::seconds(10);

/// Retries that this home's part of the limit has in a window.
/// \param first     first arrivals in the window
/// \param counting  time since this home began to count
double usable_retries(double first, retry_allowance const& limit,
                      arriving_request const& request, duration counting)
{
    double const slack =
        counting < limit_window
            ? 0
            : limit.slack / std::max(1U, request.limit_servers);
    return (request.is_retry ? retry_fraction : usable_fraction) *
           (limit.share * first + slack);
}

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
    present.first += 1 - retry_weight;
}

bool may_arrive(arrival_counts const& counts, double queued,
                retry_allowance const& limit, arriving_request const& request,
                time_point started, time_point now)
{
    if (request.retry_weight <= 0)
        return true;
    arrivals const recent = counts.sum(now);
    return recent.retries + queued + request.retry_weight <=
           usable_retries(recent.first, limit, request, now - started);
}

duration time_to_room(arrival_counts const& counts, double queued,
                      retry_allowance const& limit,
                      arriving_request const& request, time_point started,
                      time_point now)
{
    double const first = counts.sum(now).first;
    // The counts change with each full second.
    time_point const second = std::chrono::floor<std::chrono::seconds>(now);
    for (duration elapsed = std::chrono::seconds(1); elapsed <= limit_window;
         elapsed += std::chrono::seconds(1))
    {
        time_point const later = second + elapsed;
        if (counts.sum(later).retries + queued + request.retry_weight <=
            usable_retries(first, limit, request, later - started))
            return later - now;
    }
    return limit_window;
}

} // namespace gooseberrycove::admission
