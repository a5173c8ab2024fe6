#include "flood_model.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace gooseberrycove::bench
{

using namespace std::chrono_literals;

namespace
{

/// Accounts that send each kind of work.
constexpr std::uint32_t accounts = 40;

/// Load of each flood as a part of the capacity.
constexpr double flood_load = 3.0;

/// Payments and reprint orders before the catalogue before proofs in bulk.
std::array<work_class, class_count> const kestrel_classes{
    work_class{"order", false, 40ms, 0.5, 300ms, 2s, 0.3, 0.35},
    work_class{"browse", true, 60ms, 0.5, 1500ms, 5s, 0.2, 0.25},
    work_class{"proof", true, 120ms, 0.7, 10s, 30s, 0.1, 0.2}};

/// Price quotes before contract locks before bulletin data. A bulletin takes
/// longer than the target of a quote.
std::array<work_class, class_count> const delta_classes{
    work_class{"quote", true, 15ms, 0.4, 100ms, 500ms, 0.3, 0.35},
    work_class{"contract", false, 50ms, 0.5, 1s, 5s, 0.2, 0.25},
    work_class{"bulletin", true, 150ms, 0.7, 15s, 60s, 0.1, 0.2}};

time_point flood_start(run_length const& length)
{
    return run_start + length.normal;
}

time_point flood_end(run_length const& length)
{
    return flood_start(length) + length.flood;
}

void add_arrivals(std::vector<arrival>& all, service_model const& model,
                  std::uint8_t kind, time_point from, time_point to,
                  std::mt19937_64& random)
{
    work_class const& what = model.classes[kind];
    double const mean = static_cast<double>(what.mean.count());
    double const rate =
        what.load * static_cast<double>(model.servers) * model.slots / mean;
    std::exponential_distribution<double> gap(rate);
    std::lognormal_distribution<double> size(
        std::log(mean) - what.sigma * what.sigma / 2, what.sigma);
    std::uniform_int_distribution<std::uint32_t> account(0, accounts - 1);
    std::uniform_int_distribution<std::uint32_t> ingress(
        0, static_cast<std::uint32_t>(model.servers - 1));
    auto const to_duration = [](double us)
    { return duration(static_cast<duration::rep>(us)); };
    for (time_point at = from + to_duration(gap(random)); at < to;
         at += to_duration(gap(random)))
        all.push_back({at, kind, to_duration(size(random)), account(random),
                       ingress(random)});
}

} // namespace

std::vector<service_model> all_services()
{
    // Services of equal size have equal runs and are listed once.
    return {
        {"Kestrel", "catalogue, billing, proofs", 6, 4, kestrel_classes},
        {"Kestrel", "orders", 9, 4, kestrel_classes},
        {"Delta", "quotes, contracts, billing, archive", 8, 3, delta_classes}};
}

service_model flooded(service_model model, flood_kind kind)
{
    std::size_t const which =
        kind == flood_kind::most_urgent ? 0 : class_count - 1;
    model.classes[which].load = flood_load;
    return model;
}

std::vector<arrival> make_arrivals(service_model const& normal,
                                   service_model const& flood,
                                   run_length const& length, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<arrival> all;
    for (std::uint8_t kind = 0; kind < class_count; ++kind)
    {
        add_arrivals(all, normal, kind, run_start, flood_start(length), random);
        add_arrivals(all, flood, kind, flood_start(length), flood_end(length),
                     random);
    }
    std::ranges::stable_sort(all, {}, &arrival::at);
    return all;
}

void add_usage(tally& sum, run_length const& length, std::uint8_t kind,
               time_point from, time_point to, bool useful)
{
    duration const inside =
        std::min(to, flood_end(length)) - std::max(from, flood_start(length));
    if (inside.count() <= 0)
        return;
    double const us = static_cast<double>(inside.count());
    sum.used_us[kind] += us;
    sum.useful_us[kind] += useful ? us : 0;
}

void add_request(tally& sum, run_length const& length, work_class const& what,
                 arrival const& request, bool answered, time_point when)
{
    if (request.at < flood_start(length) ||
        request.at + what.target > flood_end(length))
        return;
    ++sum.arrived[request.kind];
    sum.answered[request.kind] += answered ? 1 : 0;
    bool const in_target = answered && when - request.at <= what.target;
    sum.in_target[request.kind] += in_target ? 1 : 0;
}

} // namespace gooseberrycove::bench
