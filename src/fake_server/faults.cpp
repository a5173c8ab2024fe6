#include "fake_server/faults.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace gooseberrycove::fake_server
{

namespace
{

using json = nlohmann::json;

double read_number(json const& from, double minimum, double maximum,
                   std::string_view name)
{
    if (!from.is_number() || from.get<double>() < minimum ||
        from.get<double>() > maximum)
        throw std::invalid_argument(fmt::format(
            "{}: allowed: a number from {} to {}", name, minimum, maximum));
    return from.get<double>();
}

duration read_millis(json const& from, std::string_view name)
{
    return duration(static_cast<std::int64_t>(
        1000 * read_number(from, 0, 3'600'000, name)));
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
        out.load_lie = read_number(value, 0, 100, name);
    else if (name == "cut_answer")
        out.cut_answer = read_number(value, 0, 1, name);
    else if (name == "late_answer_ms")
        out.late_answer = read_millis(value, name);
    else if (name == "silent_stop" && value.is_boolean())
        out.silent_stop = value.get<bool>();
    else
        throw std::invalid_argument(fmt::format(
            "{}: allowed: fail_rate, slow_factor, flap_ms, load_lag_ms, "
            "load_lie, cut_answer, late_answer_ms, silent_stop (boolean)",
            name));
}

std::int64_t to_millis(duration what)
{
    return what.count() / 1000;
}

} // namespace

faults parse_faults(std::string_view body, time_point now)
{
    json const from = json::parse(body, nullptr, false);
    if (!from.is_object())
        throw std::invalid_argument("the body is not a JSON object");
    faults result;
    result.since = now;
    for (auto const& [name, value] : from.items())
        read_fault(name, value, result);
    return result;
}

std::string to_json(faults const& what)
{
    return json{{"fail_rate", what.fail_rate},
                {"slow_factor", what.slow_factor},
                {"flap_ms", to_millis(what.flap)},
                {"load_lag_ms", to_millis(what.load_lag)},
                {"load_lie", what.load_lie},
                {"cut_answer", what.cut_answer},
                {"late_answer_ms", to_millis(what.late_answer)},
                {"silent_stop", what.silent_stop}}
        .dump();
}

faults active_faults(faults const& what, time_point now)
{
    if (what.flap <= duration::zero())
        return what;
    bool const quiet = ((now - what.since) / what.flap) % 2 == 1;
    return quiet ? faults{} : what;
}

time_point next_flap(faults const& what, time_point now)
{
    auto const period = (now - what.since) / what.flap;
    return what.since + (period + 1) * what.flap;
}

} // namespace gooseberrycove::fake_server
