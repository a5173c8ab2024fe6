#include "load/summary.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace gooseberrycove::load
{

namespace
{

constexpr std::array<std::pair<char const*, std::uint64_t totals::*>, 8> counts{
    {{"sent", &totals::sent},
     {"ran", &totals::ran},
     {"failed", &totals::failed},
     {"in_time", &totals::in_time},
     {"not_run", &totals::not_run},
     {"unknown", &totals::unknown},
     {"retried", &totals::retried},
     {"wrong", &totals::wrong}}};

double to_ms(duration value)
{
    return static_cast<double>(value.count()) / 1000;
}

} // namespace

std::string summary_table(plan_state const& state)
{
    std::string out = fmt::format("{:<14}", "stream");
    for (auto const& [name, member] : counts)
        out += fmt::format("{:>9}", name);
    out += fmt::format("{:>10}{:>10}{:>10}\n", "p50 ms", "p99 ms", "max ms");
    for (std::size_t index = 0; index < state.totals.size(); ++index)
    {
        totals const& row = state.totals[index];
        out += fmt::format("{:<14}", state.options.streams[index].name);
        for (auto const& [name, member] : counts)
            out += fmt::format("{:>9}", row.*member);
        out += fmt::format("{:>10.2f}{:>10.2f}{:>10.2f}\n",
                           to_ms(percentile(row.latency, 0.5)),
                           to_ms(percentile(row.latency, 0.99)),
                           to_ms(row.latency.maximum));
    }
    return out;
}

std::string summary_json(plan_state const& state)
{
    nlohmann::ordered_json out;
    for (std::size_t index = 0; index < state.totals.size(); ++index)
    {
        totals const& row = state.totals[index];
        auto& to = out["streams"][state.options.streams[index].name];
        for (auto const& [name, member] : counts)
            to[name] = row.*member;
        to["p50_ms"] = to_ms(percentile(row.latency, 0.5));
        to["p99_ms"] = to_ms(percentile(row.latency, 0.99));
        to["max_ms"] = to_ms(row.latency.maximum);
    }
    out["wrong"] = count_wrong(state);
    return out.dump() + "\n";
}

std::uint64_t count_wrong(plan_state const& state)
{
    std::uint64_t sum = 0;
    for (totals const& row : state.totals)
        sum += row.wrong;
    return sum;
}

} // namespace gooseberrycove::load
