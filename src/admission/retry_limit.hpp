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

/// \param retry_weight  see work_request::retry_weight; the rest of 1 counts as
///                      a first arrival
void count_arrival(arrival_counts& counts, double retry_weight, time_point now);

/// Fields of a work_request that the limit depends on.
struct arriving_request
{
    /// Another server was tried before; otherwise a weight above 0 is that of
    /// a call which a retried run may have made.
    bool is_retry = false;
    double retry_weight = 0;
    /// Servers of the service that share the limit.
    std::uint32_t limit_servers = 1;
};

/// Whether the retry limit allows this home to admit a request. Each home keeps
/// to its part of the limit, so that the homes together keep it without
/// coordination. Calls of retried runs may use more of it than retries, because
/// the work of the run that waits for them would be lost.
/// \param queued      retries that were admitted and have not started
/// \param started     when this home began to count. The daemon's earlier run
///                    may have used this home's part of the slack, so there is
///                    none until that is outside of the limit's window.
bool may_arrive(arrival_counts const& counts, double queued,
                retry_allowance const& limit, arriving_request const& request,
                time_point started, time_point now);

/// Time until the limit is expected to have room for a request that it refuses
/// now: until the retries of enough past seconds are outside of its window,
/// while first requests arrive as before. At most the window.
duration time_to_room(arrival_counts const& counts, double queued,
                      retry_allowance const& limit,
                      arriving_request const& request, time_point started,
                      time_point now);

} // namespace gooseberrycove::admission

#endif
