#ifndef GOOSEBERRYCOVE_ROUTING_DATA_CENTRE_HPP
#define GOOSEBERRYCOVE_ROUTING_DATA_CENTRE_HPP

#include <gooseberrycove/types.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrycove::routing
{

/// Cost of another data centre, in units of a server's load, when no price of
/// the bytes between data centres is configured.
inline constexpr double unpriced_crossing_cost = 0.75;

/// Decaying means of a route's answers.
struct route_means
{
    double answer_bytes = 0;
    double service_seconds = 0;
    bool has_answers = false;
};
using route_means_map = std::map<std::string, route_means, std::less<>>;

void record_answer(route_means_map& routes, std::string_view route,
                   std::size_t answer_bytes, duration service_time);

/// The means of a route; typical ones before its first answer.
route_means means_of(route_means_map const& routes, std::string_view route);

/// Least recent time that an answer took beside its service time, by where the
/// home is. The minimum leaves out the waits at the home; it rises slowly, so
/// that a longer path is learned too.
struct path_delays
{
    std::optional<double> same_seconds;
    std::optional<double> other_seconds;
};

void record_path(path_delays& delays, bool is_other_data_centre,
                 duration round_trip, duration service_time);

/// Time that another data centre adds to an answer; 0 while it is not known.
double added_seconds(path_delays const& delays);

/// One request as its price in another data centre depends on it.
struct crossing
{
    /// Seconds of waiting that are accepted to keep 1 MiB in the data centre.
    double seconds_per_mib = 0;
    std::size_t body_bytes = 0;
    route_means means;
    duration time_left{0};
    /// See path_delays.
    double added_seconds = 0;
    /// Attempts of this request that have ended without success in the own data
    /// centre.
    std::size_t local_failures = 0;
};

/// Wait in the own data centre that a request accepts rather than leave it, in
/// units of a server's load: 1 is one mean service time. Negative when the own
/// data centre has failed the request several times.
double crossing_cost(crossing const& request);

/// Costs of the cheapest server of one side, in units of a server's load.
struct side
{
    /// (in flight + queued) / slots
    double load = 0;
    std::uint32_t slots = 1;
    /// Costs of its standing, its failure probability and its own limit.
    double risk = 0;
};

/// Share of the requests that leave the data centre: the part of the local load
/// that exceeds what the other side and crossing cost. The rest stays, because
/// all daemons of the data centre decide on the same news, which may be seconds
/// old. A difference in risk is not reduced by leaving and adds in full.
double leaving_share(side const& local, side const& other, double cost);

} // namespace gooseberrycove::routing

#endif
