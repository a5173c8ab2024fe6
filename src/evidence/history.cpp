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

constexpr std::array<field<std::string>, 10> text_fields{{
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

constexpr std::array<field<std::int64_t>, 7> number_fields{{
    {"status", &record::status},
    {"version", &record::version},
    {"healthy_slots", &record::healthy_slots},
    {"floor_slots", &record::floor_slots},
    {"ejected", &record::ejected},
    {"arrived_us", &record::arrived_us},
    {"time_us", &record::time_us},
}};

constexpr std::array<field<std::optional<bool>>, 3> flag_fields{{
    {"complete", &record::complete},
    {"own", &record::own},
    {"graceful", &record::graceful},
}};

template <class Value, class Target>
void read_member(json const& object, char const* name, Target& value)
{
    auto const found = object.find(name);
    if (found != object.end() && !found->is_null())
        value = found->get<Value>();
}

} // namespace

std::string to_json(record const& entry)
{
    json object = json::object();
    for (auto const& [name, member] : text_fields)
    {
        if (!(entry.*member).empty())
            object[name] = entry.*member;
    }
    for (auto const& [name, member] : number_fields)
    {
        if (entry.*member != 0)
            object[name] = entry.*member;
    }
    for (auto const& [name, member] : flag_fields)
    {
        if (entry.*member)
            object[name] = *(entry.*member);
    }
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

record parse_record(std::string_view line)
{
    record result;
    try
    {
        json const object = json::parse(line);
        if (!object.is_object())
            throw std::invalid_argument("not a JSON object");
        for (auto const& [name, member] : text_fields)
            read_member<std::string>(object, name, result.*member);
        for (auto const& [name, member] : number_fields)
            read_member<std::int64_t>(object, name, result.*member);
        for (auto const& [name, member] : flag_fields)
            read_member<bool>(object, name, result.*member);
    }
    catch (json::exception const& failure)
    {
        throw std::invalid_argument(failure.what());
    }
    if (result.event.empty())
        throw std::invalid_argument("no member 'event'");
    return result;
}

std::int64_t to_micros(time_point time)
{
    return time.time_since_epoch().count();
}

} // namespace gooseberrycove::evidence
