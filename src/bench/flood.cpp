#include "flood.hpp"

#include "flood_baseline.hpp"
#include "flood_policy.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <ostream>

namespace gooseberrycove::bench
{

namespace
{

/// One row of a table: a measure with its aim.
struct row
{
    std::string_view name;
    double flood_measures::*value = nullptr;
    double aim = 0;
};

constexpr row least_rows[] = {{"urgent work within target",
                               &flood_measures::urgent_in_target,
                               aim_urgent_in_target},
                              {"capacity left by urgent work that is used",
                               &flood_measures::rest_used, aim_rest_used}};

constexpr row most_rows[] = {
    {"least minimum share kept", &flood_measures::share_kept, aim_share_kept},
    {"urgent work in the remainder", &flood_measures::urgent_fills, aim_useful},
    {"useful work in the capacity", &flood_measures::useful, aim_useful}};

std::span<row const> rows_of(flood_kind kind)
{
    if (kind == flood_kind::least_urgent)
        return least_rows;
    return most_rows;
}

/// Runs of one service under one flood, in the order of the seeds.
struct comparison
{
    std::vector<flood_measures> policy;
    std::vector<flood_measures> baseline;
};

comparison run_seeds(service_model const& model, flood_kind kind,
                     flood_options const& options)
{
    service_model const flood = flooded(model, kind);
    comparison made;
    for (std::uint64_t i = 0; i < options.seeds; ++i)
    {
        std::uint64_t const seed = options.first_seed + i;
        auto const arrivals = make_arrivals(model, flood, options.length, seed);
        made.policy.push_back(
            measure(run_policy(flood, options.length, arrivals, seed), flood,
                    options.length));
        made.baseline.push_back(
            measure(run_baseline(flood, options.length, arrivals), flood,
                    options.length));
    }
    return made;
}

struct summary
{
    double median = 0;
    double worst = 0;
};

summary summarise(std::span<flood_measures const> runs,
                  double flood_measures::*value)
{
    std::vector<double> values;
    for (flood_measures const& run : runs)
        values.push_back(run.*value);
    std::ranges::sort(values);
    std::size_t const half = values.size() / 2;
    double const median = values.size() % 2 == 1
                              ? values[half]
                              : (values[half - 1] + values[half]) / 2;
    return {median, values.front()};
}

int print_rows(std::ostream& out, service_model const& model, flood_kind kind,
               comparison const& runs)
{
    int missed = 0;
    for (row const& line : rows_of(kind))
    {
        summary const policy = summarise(runs.policy, line.value);
        summary const baseline = summarise(runs.baseline, line.value);
        bool const met = policy.worst >= line.aim;
        missed += met ? 0 : 1;
        out << fmt::format(
            "| {} {} | {} | {:.1f}% | {:.2f}% | {:.2f}% | {:.2f}% | {:.2f}% | "
            "{} |\n",
            model.deployment, model.service, line.name, 100 * line.aim,
            100 * policy.median, 100 * policy.worst, 100 * baseline.median,
            100 * baseline.worst, met ? "yes" : "no");
    }
    out.flush();
    return missed;
}

int run_kind(std::ostream& out, flood_kind kind, flood_options const& options)
{
    out << fmt::format(
        "\n### Flood of 3x {} urgent work, seeds {} to {}\n\n"
        "| service | measure | aim | policy median | policy worst | "
        "FIFO median | FIFO worst | met |\n"
        "|---|---|---|---|---|---|---|---|\n",
        kind == flood_kind::least_urgent ? "least" : "most", options.first_seed,
        options.first_seed + options.seeds - 1);
    int missed = 0;
    for (service_model const& model : all_services())
        missed += print_rows(out, model, kind, run_seeds(model, kind, options));
    return missed;
}

double sum_of(std::span<double const> values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

} // namespace

flood_measures measure(tally const& sum, service_model const& flood,
                       run_length const& length)
{
    double const capacity = static_cast<double>(length.flood.count()) *
                            static_cast<double>(flood.servers) * flood.slots;
    double const useful = sum_of(sum.useful_us);
    double const used = sum_of(sum.used_us);
    flood_measures made;
    made.urgent_in_target = static_cast<double>(sum.in_target[0]) /
                            static_cast<double>(sum.arrived[0]);
    made.rest_used = (useful - sum.useful_us[0]) / (capacity - sum.used_us[0]);
    made.share_kept = 1e9;
    for (std::size_t i = 1; i < class_count; ++i)
        made.share_kept = std::min(made.share_kept,
                                   sum.useful_us[i] /
                                       (capacity * flood.classes[i].min_share));
    made.urgent_fills = sum.useful_us[0] / (capacity - (used - sum.used_us[0]));
    made.useful = useful / capacity;
    return made;
}

int run_flood(std::ostream& out, flood_options const& options)
{
    int missed = run_kind(out, flood_kind::least_urgent, options);
    missed += run_kind(out, flood_kind::most_urgent, options);
    out << fmt::format("\n{} rows miss their aim in the worst run.\n", missed);
    return missed;
}

} // namespace gooseberrycove::bench
