#ifndef GOOSEBERRYCOVE_BENCH_FLEET_MODEL_HPP
#define GOOSEBERRYCOVE_BENCH_FLEET_MODEL_HPP

#include "health/decisions.hpp"

#include <functional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::bench
{

/// Sizes of one deployment of section 1.4 of the design.
struct deployment
{
    std::string_view name;
    /// Servers of each service.
    std::vector<std::size_t> services;
    std::uint32_t slots = 4;
    /// Samples per second at each server.
    double rate = 40;
};

std::span<deployment const> deployments();

/// How a server behaves at one moment.
struct behaviour
{
    double fail_rate = 0.002;
    double slow_factor = 1;
    /// Share of answers that take ten times as long.
    double pauses = 0;
};

using script = std::function<behaviour(std::size_t server, duration elapsed)>;

/// Service time of healthy servers: median and deviation of the logarithm.
inline constexpr double median_latency_us = 20000;
inline constexpr double log_deviation = 0.5;

struct model_sample
{
    std::size_t server = 0;
    bool failed = false;
    duration latency{0};
    time_point at;
};

/// Status on its way to another home.
struct carried_report
{
    time_point arrives;
    std::size_t to = 0;
    server_status status;
};

/// One service with one server per home, on injected time. The homes run the
/// real health duty; statuses travel between them.
struct health_model
{
    std::vector<health::health_duty_state> homes;
    std::vector<std::string> names;
    std::vector<time_point> next_sample;
    std::vector<time_point> next_tick;
    std::vector<carried_report> network;
    std::mt19937_64 random;
    double rate = 40;
    script behave;
    time_point start{std::chrono::seconds(1000)};
    time_point now = start;
    /// Called for each sample before the health duty sees it.
    std::function<void(model_sample const&)> observe;
    /// Called when a server's state changes or its alarm is raised.
    std::function<void(std::size_t server, health::status_update const&)>
        on_status_update;
};

health_model make_service(std::size_t servers, double rate, std::uint64_t seed);

/// Runs the model until \p end or until \p stop returns true.
void run_until(health_model& model, time_point end,
               std::function<bool()> const& stop);

} // namespace gooseberrycove::bench

#endif
