#include "fake_server/faults.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace gooseberrycove::fake_server
{

namespace
{

using json = nlohmann::json;

double read_number(json const& value, double minimum, double maximum,
                   std::string_view name)
{
    if (!value.is_number() || value.get<double>() < minimum ||
        value.get<double>() > maximum)
        throw std::invalid_argument(fmt::format(
            "{}: allowed: a number from {} to {}", name, minimum, maximum));
    return value.get<double>();
}

duration read_millis(json const& value, std::string_view name)
{
    return duration(static_cast<std::int64_t>(
        1000 * read_number(value, 0, 3'600'000, name)));
}

constexpr std::array<std::string_view, 5> second_names{"same", "split", "bare",
                                                       "undelimited", "noise"};

second_kind read_second_kind(json const& value, std::string_view name)
{
    if (value.is_string())
    {
        auto const found =
            std::ranges::find(second_names, value.get<std::string>());
        if (found != second_names.end())
            return static_cast<second_kind>(found - second_names.begin());
    }
    throw std::invalid_argument(
        fmt::format("{}: allowed: {}", name, fmt::join(second_names, ", ")));
}

void read_fault(std::string_view name, json const& value, faults& out)
{
    if (name == "fail_rate")
        out.fail_rate = read_number(value, 0, 1, name);
    else if (name == "slow_factor")
        out.slow_factor = read_number(value, 0, 10'000, name);
    else if (name == "flap_ms")
        out.flap = read_millis(value, name);
    else if (name == "load_lag_ms")
        out.load_lag = read_millis(value, name);
    else if (name == "load_lie")
        out.reported_load_factor = read_number(value, 0, 100, name);
    else if (name == "cut_answer")
        out.truncated_share = read_number(value, 0, 1, name);
    else if (name == "late_answer_ms")
        out.response_delay = read_millis(value, name);
    else if (name == "second_answer")
        out.second_share = read_number(value, 0, 1, name);
    else if (name == "second_answer_ms")
        out.second_delay = read_millis(value, name);
    else if (name == "second_answer_kind")
        out.second = read_second_kind(value, name);
    else if (name == "silent_stop" && value.is_boolean())
        out.is_unresponsive = value.get<bool>();
    else
        throw std::invalid_argument(fmt::format(
            "{}: allowed: fail_rate, slow_factor, flap_ms, load_lag_ms, "
            "load_lie, cut_answer, late_answer_ms, second_answer, "
            "second_answer_ms, second_answer_kind, silent_stop (boolean)",
            name));
}

std::int64_t to_millis(duration time)
{
    return time.count() / 1000;
}

} // namespace

faults parse_faults(std::string_view body, time_point now)
{
    json const document = json::parse(body, nullptr, false);
    if (!document.is_object())
        throw std::invalid_argument("the body is not a JSON object");
    faults result;
    result.set_at = now;
    for (auto const& [name, value] : document.items())
        read_fault(name, value, result);
    return result;
}

std::string to_json(faults const& configured)
{
    return json{{"fail_rate", configured.fail_rate},
                {"slow_factor", configured.slow_factor},
                {"flap_ms", to_millis(configured.flap)},
                {"load_lag_ms", to_millis(configured.load_lag)},
                {"load_lie", configured.reported_load_factor},
                {"cut_answer", configured.truncated_share},
                {"late_answer_ms", to_millis(configured.response_delay)},
                {"second_answer", configured.second_share},
                {"second_answer_ms", to_millis(configured.second_delay)},
                {"second_answer_kind",
                 second_names[static_cast<std::size_t>(configured.second)]},
                {"silent_stop", configured.is_unresponsive}}
        .dump();
}

faults active_faults(faults const& configured, time_point now)
{
    if (configured.flap <= duration::zero())
        return configured;
    bool const is_inactive_period =
        ((now - configured.set_at) / configured.flap) % 2 == 1;
    return is_inactive_period ? faults{} : configured;
}

time_point next_flap(faults const& configured, time_point now)
{
    auto const period = (now - configured.set_at) / configured.flap;
    return configured.set_at + (period + 1) * configured.flap;
}

} // namespace gooseberrycove::fake_server
