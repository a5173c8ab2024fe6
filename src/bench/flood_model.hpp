#ifndef GOOSEBERRYCOVE_BENCH_FLOOD_MODEL_HPP
#define GOOSEBERRYCOVE_BENCH_FLOOD_MODEL_HPP

#include <gooseberrycove/types.hpp>

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace gooseberrycove::bench
{

/// One kind of work: the priority with the same position in the deployment.
struct work_class
{
    std::string name;
    bool repeatable = true;
    /// Log-normal service time.
    duration mean{0};
    double sigma = 0.5;
    duration target{0};
    duration timeout{0};
    double min_share = 0;
    /// Offered load as a part of the capacity of the service.
    double load = 0;
};

inline constexpr std::size_t class_count = 3;

/// One service of a deployment of section 1.4 of the design.
struct service_model
{
    std::string deployment;
    std::string service;
    std::size_t servers = 0;
    std::uint32_t slots = 0;
    std::array<work_class, class_count> classes{};
};

std::vector<service_model> all_services();

enum class flood_kind : std::uint8_t
{
    least_urgent,
    most_urgent
};

/// The model with the load of one class raised to three times the capacity.
service_model flooded(service_model model, flood_kind kind);

/// One request of a run. Both policies see the same ones.
struct arrival
{
    time_point at;
    std::uint8_t kind = 0;
    duration size{0};
    std::uint32_t account = 0;
    /// Daemon that the caller sends to, as a number below the servers.
    std::uint32_t ingress = 0;
};

/// Length of a run: normal load first, then the flood, which is measured.
struct run_length
{
    duration normal{10'000'000};
    duration flood{40'000'000};
};

inline constexpr time_point run_start{duration{3'600'000'000}};

std::vector<arrival> make_arrivals(service_model const& normal,
                                   service_model const& flood,
                                   run_length const& length,
                                   std::uint64_t seed);

/// What became of the requests, for the period of the flood.
struct tally
{
    /// Slot-time of requests answered in time, and of all that were run.
    std::array<double, class_count> useful_us{};
    std::array<double, class_count> used_us{};
    std::array<std::uint64_t, class_count> arrived{};
    std::array<std::uint64_t, class_count> answered{};
    std::array<std::uint64_t, class_count> in_target{};
};

/// Adds one piece of slot-time, cut to the period of the flood.
void add_usage(tally& sum, run_length const& length, std::uint8_t kind,
               time_point from, time_point to, bool useful);

/// Counts one request that arrived during the flood, but for its last part,
/// in which answers may come after the end.
void add_request(tally& sum, run_length const& length, work_class const& what,
                 arrival const& request, bool answered, time_point when);

} // namespace gooseberrycove::bench

#endif
