#include "data_centre.hpp"

#include <algorithm>

namespace gooseberrycove::routing
{

namespace
{

/// Weight of a new answer in the means of its route.
constexpr double mean_weight = 1.0 / 16;
/// Service time of a route without answers, in seconds.
constexpr double initial_service_seconds = 0.4;
constexpr double min_service_seconds = 0.01;
/// Bound of the routes with means; a fleet's document has some hundred.
constexpr std::size_t max_routes = 4096;
/// Headers, framing and statuses of a request and its result together.
constexpr double overhead_bytes = 2048;
constexpr double bytes_per_mib = 1024.0 * 1024.0;
/// Loads and failure probabilities are compared with noise of up to 0.25, so a
/// smaller difference is no reason to send any bytes across.
constexpr double min_cost = 0.25;
/// A smaller difference in risk is no reason to leave either: estimates of
/// sound servers differ by as much, and lookups left although there were free
/// slots.
constexpr double min_risk_difference = 0.5;
/// A difference of 2/3 in the failure probability of repeatable work costs 2,
/// so failing servers are left whatever the price of the bytes.
constexpr double max_cost = 2;
/// Each home here that refused or failed shows that the local servers have less
/// room than the news says. Without this an export asks up to eight full homes
/// in turn before it leaves.
constexpr double local_failure_discount = 0.5;
/// Part of the time that the caller still waits which may be spent to keep
/// bytes in the data centre.
constexpr double max_share_of_time_left = 0.25;

/// Part of the difference by which a longer path raises the known delay.
constexpr double delay_rise = 1.0 / 1024;

/// Wait for a slot in service times. A server with all slots busy has one free
/// after the time of one slot's share.
double wait_at(side const& value)
{
    return std::max(0.0, value.load - 1 + 1.0 / std::max(1U, value.slots));
}

} // namespace

void record_answer(route_means_map& routes, std::string_view route,
                   std::size_t answer_bytes, duration service_time)
{
    auto found = routes.find(route);
    if (found == routes.end())
    {
        if (routes.size() >= max_routes)
            routes.clear();
        found = routes.emplace(std::string(route), route_means{}).first;
    }
    route_means& means = found->second;
    double const weight = means.has_answers ? mean_weight : 1;
    means.has_answers = true;
    means.answer_bytes +=
        weight * (static_cast<double>(answer_bytes) - means.answer_bytes);
    means.service_seconds +=
        weight * (std::chrono::duration<double>(service_time).count() -
                  means.service_seconds);
}

route_means means_of(route_means_map const& routes, std::string_view route)
{
    auto const found = routes.find(route);
    return found == routes.end() ? route_means{0, initial_service_seconds}
                                 : found->second;
}

void record_path(path_delays& delays, bool is_other_data_centre,
                 duration round_trip, duration service_time)
{
    std::optional<double>& known =
        is_other_data_centre ? delays.other_seconds : delays.same_seconds;
    double const sample = std::max(
        0.0, std::chrono::duration<double>(round_trip - service_time).count());
    known = known && sample > *known ? *known + delay_rise * (sample - *known)
                                     : sample;
}

double added_seconds(path_delays const& delays)
{
    return delays.same_seconds && delays.other_seconds
               ? std::max(0.0, *delays.other_seconds - *delays.same_seconds)
               : 0;
}

double crossing_cost(crossing const& request)
{
    double const bytes = overhead_bytes +
                         static_cast<double>(request.body_bytes) +
                         request.means.answer_bytes;
    double const max_wait =
        max_share_of_time_left *
        std::max(0.0, std::chrono::duration<double>(request.time_left).count());
    double const wait =
        std::min(max_wait, request.seconds_per_mib * bytes / bytes_per_mib);
    double const cost =
        (wait + request.added_seconds) /
        std::max(min_service_seconds, request.means.service_seconds);
    return std::clamp(cost, min_cost, max_cost) -
           local_failure_discount * static_cast<double>(request.local_failures);
}

double leaving_share(side const& local, side const& other, double cost)
{
    double const risk = local.risk - other.risk;
    double const counted_risk =
        risk > 0 ? std::max(0.0, risk - min_risk_difference) : risk;
    double const excess = wait_at(local) - wait_at(other) + counted_risk - cost;
    if (excess <= 0)
        return 0;
    return excess >= local.load ? 1 : excess / local.load;
}

} // namespace gooseberrycove::routing
