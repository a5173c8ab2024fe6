#include "baselines.hpp"
#include "detection.hpp"
#include "fleet_model.hpp"

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <numbers>

namespace gooseberrycove::bench
{

namespace
{

using namespace std::chrono_literals;

struct condition
{
    std::string_view name;
    script behave;
};

bool in_fault(duration elapsed)
{
    // Minutes of shared fault alternate with healthy minutes.
    return elapsed % 120s >= 60s;
}

double wave(duration elapsed)
{
    double const turns = static_cast<double>(elapsed.count()) / 20e6;
    return 1 + 0.5 * std::sin(2 * std::numbers::pi * turns);
}

std::vector<condition> conditions()
{
    return {
        {"healthy", [](auto, auto) { return behaviour{}; }},
        {"1% of answers take 10x",
         [](auto, auto) {
             return behaviour{0.002, 1, 0.01};
         }},
        {"latency wave of +-50% on all",
         [](auto, auto at) {
             return behaviour{0.002, wave(at)};
         }},
        {"one server 1.3x slower",
         [](auto server, auto) {
             return behaviour{0.002, server == 0 ? 1.3 : 1};
         }},
        {"2% failures on all", [](auto, auto) { return behaviour{0.02}; }},
        {"shared fault: 30% failures",
         [](auto, auto at) { return behaviour{in_fault(at) ? 0.3 : 0.002}; }},
        {"shared fault: 100% failures",
         [](auto, auto at) { return behaviour{in_fault(at) ? 1 : 0.002}; }},
        {"shared fault: slow 5x",
         [](auto, auto at) {
             return behaviour{0.002, in_fault(at) ? 5.0 : 1};
         }},
    };
}

struct false_counts
{
    double hours = 0;
    std::size_t requests = 0;
    std::size_t sequential = 0;
    std::size_t consecutive = 0;
    std::size_t percentage = 0;
};

/// A baseline detector with its fixed time out of service.
template <class Detector>
struct held_detector
{
    Detector detector;
    time_point held_until;
};

template <class Detector>
void feed(held_detector<Detector>& to, model_sample const& taken,
          std::size_t& ejections)
{
    if (taken.at < to.held_until ||
        !take_sample(to.detector, taken.failed, taken.at))
        return;
    ++ejections;
    to.held_until = taken.at + baseline_hold;
}

void run_service(condition const& which, std::size_t servers, double rate,
                 std::uint64_t seed, duration length, false_counts& counts)
{
    health_model model = make_service(servers, rate, seed);
    std::vector<held_detector<consecutive_failures>> consecutive(servers);
    std::vector<held_detector<failure_percentage>> percentage(servers);
    model.behave = which.behave;
    model.observe = [&](model_sample const& taken)
    {
        feed(consecutive[taken.server], taken, counts.consecutive);
        feed(percentage[taken.server], taken, counts.percentage);
    };
    model.on_status_update = [&](std::size_t, health::status_update const& what)
    {
        counts.requests += what.requests_reports ? 1 : 0;
        counts.sequential +=
            what.status.health == health_state::ejected ? 1 : 0;
    };
    run_until(model, model.start + length, [] { return false; });
    counts.hours += static_cast<double>(servers) *
                    static_cast<double>(length.count()) / 3.6e9;
}

std::string rate_text(std::size_t count, double hours)
{
    return fmt::format("{} ({:.4f})", count,
                       static_cast<double>(count) / hours);
}

} // namespace

void run_false_ejections(detection_options const& options, std::ostream& out)
{
    auto const length =
        duration(static_cast<duration::rep>(options.healthy_minutes * 60e6));
    out << fmt::format(
        "### False ejections, seeds {} to {}, {:.0f} min each\n\n"
        "Count (per healthy server-hour). No count in N hours bounds the rate "
        "to 3/N at 95% confidence.\n\n"
        "| deployment | condition | server-hours | sequential, report requests "
        "| "
        "sequential, ejections | 5 consecutive failures | 20% of >= 20 in "
        "10 s |\n|---|---|---|---|---|---|---|\n",
        options.first_seed, options.first_seed + options.seeds - 1,
        options.healthy_minutes);
    for (deployment const& where : deployments())
    {
        for (condition const& which : conditions())
        {
            if (!options.condition.empty() && options.condition != which.name)
                continue;
            false_counts counts;
            for (unsigned i = 0; i < options.seeds; ++i)
            {
                for (std::size_t service = 0; service < where.services.size();
                     ++service)
                    run_service(which, where.services[service], where.rate,
                                (options.first_seed + i) * 100 + service,
                                length, counts);
            }
            out << fmt::format("| {} | {} | {:.1f} | {} | {} | {} | {} |\n",
                               where.name, which.name, counts.hours,
                               rate_text(counts.requests, counts.hours),
                               rate_text(counts.sequential, counts.hours),
                               rate_text(counts.consecutive, counts.hours),
                               rate_text(counts.percentage, counts.hours));
        }
    }
    out << '\n';
}

} // namespace gooseberrycove::bench
