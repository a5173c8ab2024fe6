#ifndef GOOSEBERRYCOVE_BENCH_CHOICE_MODEL_HPP
#define GOOSEBERRYCOVE_BENCH_CHOICE_MODEL_HPP

#include "routing/candidates.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace gooseberrycove::bench
{

enum class policy : std::uint8_t
{
    two_choices,     ///< routing::choose()
    least_in_flight, ///< the least loaded of all, as last reported
    two_stage        ///< filter, then piecewise-linear overload score
};

std::string_view to_string(policy value);

/// One service with one server per home, and daemons that take requests.
struct choice_setting
{
    std::size_t servers = 6;
    std::uint32_t slots = 4;
    std::size_t daemons = 27;
    /// Share of the healthy capacity that is asked for.
    double load = 0.7;
    /// Service time of the first server against the others.
    double slow_factor = 1;
};

/// Latencies in milliseconds of all requests of one run.
std::vector<double> run_choice_model(choice_setting const& setting, policy used,
                                     std::uint64_t seed);

} // namespace gooseberrycove::bench

#endif
