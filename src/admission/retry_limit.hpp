#ifndef GOOSEBERRYCOVE_ADMISSION_RETRY_LIMIT_HPP
#define GOOSEBERRYCOVE_ADMISSION_RETRY_LIMIT_HPP

#include <gooseberrycove/recent_seconds.hpp>

#include <cstdint>

namespace gooseberrycove::admission
{

/// Requests that arrived at the service's servers homed here.
struct arrivals
{
    double first = 0;
    double retries = 0;

    arrivals& operator+=(arrivals const& other);
};

/// One slice more than the 10 s of the limit, so that each sum covers every
/// window of 10 s that ends now.
using arrival_counts = recent_seconds<arrivals, 11>;

/// Retries that a service allows in any 10 s, over all of its homes.
struct retry_allowance
{
    /// Retries allowed for each first arrival, plus a constant number.
    double share = 0;
    double slack = 0;
};

/// \param retry_weight  see work_request::retry_weight
void count_arrival(arrival_counts& counts, double retry_weight, time_point now);

/// Whether this home may admit another retry. Each home keeps to its part of
/// the limit, so that the homes together keep it without coordination.
/// \param queued   retries that were admitted and have not started
/// \param servers  servers of the service that share the limit, at least 1
bool may_retry(arrival_counts const& counts, double queued,
               retry_allowance const& limit, std::uint32_t servers,
               time_point now);

} // namespace gooseberrycove::admission

#endif
