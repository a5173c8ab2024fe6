#include "evidence/history.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>
#include <utility>

namespace gooseberrycove::evidence
{

namespace
{

using json = nlohmann::ordered_json;

template <class Value>
using field = std::pair<char const*, Value record::*>;

constexpr std::array<field<std::string>, 10> texts{{
    {"event", &record::event},
    {"request", &record::request},
    {"key", &record::key},
    {"stream", &record::stream},
    {"server", &record::server},
    {"service", &record::service},
    {"daemon", &record::daemon},
    {"address", &record::address},
    {"outcome", &record::outcome},
    {"reason", &record::reason},
}};

constexpr std::array<field<std::int64_t>, 7> numbers{{
    {"status", &record::status},
    {"version", &record::version},
    {"healthy_slots", &record::healthy_slots},
    {"floor_slots", &record::floor_slots},
    {"ejected", &record::ejected},
    {"arrived_us", &record::arrived_us},
    {"time_us", &record::time_us},
}};

constexpr std::array<field<std::optional<bool>>, 3> flags{{
    {"complete", &record::complete},
    {"own", &record::own},
    {"graceful", &record::graceful},
}};

template <class Value, class Target>
void read_member(json const& from, char const* name, Target& to)
{
    auto const found = from.find(name);
    if (found != from.end() && !found->is_null())
        to = found->get<Value>();
}

} // namespace

std::string to_json(record const& what)
{
    json out = json::object();
    for (auto const& [name, member] : texts)
    {
        if (!(what.*member).empty())
            out[name] = what.*member;
    }
    for (auto const& [name, member] : numbers)
    {
        if (what.*member != 0)
            out[name] = what.*member;
    }
    for (auto const& [name, member] : flags)
    {
        if (what.*member)
            out[name] = *(what.*member);
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

record parse_record(std::string_view line)
{
    record result;
    try
    {
        json const from = json::parse(line);
        if (!from.is_object())
            throw std::invalid_argument("not a JSON object");
        for (auto const& [name, member] : texts)
            read_member<std::string>(from, name, result.*member);
        for (auto const& [name, member] : numbers)
            read_member<std::int64_t>(from, name, result.*member);
        for (auto const& [name, member] : flags)
            read_member<bool>(from, name, result.*member);
    }
    catch (json::exception const& failure)
    {
        throw std::invalid_argument(failure.what());
    }
    if (result.event.empty())
        throw std::invalid_argument("no member 'event'");
    return result;
}

std::int64_t to_micros(time_point at)
{
    return at.time_since_epoch().count();
}

} // namespace gooseberrycove::evidence
