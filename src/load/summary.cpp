#include "load/summary.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace gooseberrycove::load
{

namespace
{

constexpr std::array<std::pair<char const*, std::uint64_t stream_totals::*>, 9>
    counts{{{"sent", &stream_totals::sent},
            {"ran", &stream_totals::ran},
            {"failed", &stream_totals::failed},
            {"in_time", &stream_totals::in_time},
            {"not_run", &stream_totals::not_run},
            {"unknown", &stream_totals::unknown},
            {"retried", &stream_totals::retried},
            {"moved", &stream_totals::moved},
            {"wrong", &stream_totals::wrong}}};

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
        stream_totals const& totals = state.totals[index];
        out += fmt::format("{:<14}", state.options.streams[index].name);
        for (auto const& [name, member] : counts)
            out += fmt::format("{:>9}", totals.*member);
        out += fmt::format("{:>10.2f}{:>10.2f}{:>10.2f}\n",
                           to_ms(percentile(totals.latency, 0.5)),
                           to_ms(percentile(totals.latency, 0.99)),
                           to_ms(totals.latency.max_value));
    }
    return out;
}

std::string summary_json(plan_state const& state)
{
    nlohmann::ordered_json out;
    for (std::size_t index = 0; index < state.totals.size(); ++index)
    {
        stream_totals const& totals = state.totals[index];
        auto& entry = out["streams"][state.options.streams[index].name];
        for (auto const& [name, member] : counts)
            entry[name] = totals.*member;
        entry["p50_ms"] = to_ms(percentile(totals.latency, 0.5));
        entry["p99_ms"] = to_ms(percentile(totals.latency, 0.99));
        entry["max_ms"] = to_ms(totals.latency.max_value);
    }
    out["wrong"] = count_wrong(state);
    return out.dump() + "\n";
}

std::uint64_t count_wrong(plan_state const& state)
{
    std::uint64_t sum = 0;
    for (stream_totals const& totals : state.totals)
        sum += totals.wrong;
    return sum;
}

} // namespace gooseberrycove::load
