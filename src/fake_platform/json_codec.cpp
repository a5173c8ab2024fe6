#include "fake_platform/json_codec.hpp"

#include <gooseberrycove/error.hpp>

#include <nlohmann/json.hpp>

#include <charconv>

namespace gooseberrycove::fake_platform
{

namespace
{

using nlohmann::json;

/// Below handle_request_timeout of http.cpp, which would close the connection
/// of a slower call.
constexpr std::int64_t max_slow_ms = 10'000;

constexpr std::size_t max_scan_limit = 1000;

std::string_view parameter(http_call const& call, std::string_view name)
{
    auto const found = call.query.find(name);
    return found == call.query.end() ? std::string_view() : found->second;
}

store::transaction parse_transaction(std::string_view body)
{
    json const document = json::parse(body);
    store::transaction result;
    for (json const& item : document.value("conditions", json::array()))
        result.conditions.push_back({item.at("key"), item.at("version")});
    for (json const& item : document.value("puts", json::array()))
        result.puts.push_back({item.at("key"), item.at("value")});
    for (json const& item : document.value("deletes", json::array()))
        result.deletes.push_back(item);
    return result;
}

store::scan_rows parse_scan(http_call const& call)
{
    store::scan_rows result;
    result.prefix = parameter(call, "prefix");
    result.after = parameter(call, "after");
    std::string_view const limit = parameter(call, "limit");
    if (limit.empty())
        return result;
    char const* const end = limit.data() + limit.size();
    auto const parsed = std::from_chars(limit.data(), end, result.limit);
    if (parsed.ec != std::errc() || parsed.ptr != end || result.limit < 1 ||
        result.limit > max_scan_limit)
        throw error(error_kind::bad_request, "limit: allowed: 1 to 1000");
    return result;
}

json rows_of(store::reply const& reply)
{
    json rows = json::array();
    for (store::row const& row : reply.rows)
        rows.push_back(
            {{"key", row.key}, {"version", row.version}, {"value", row.value}});
    return rows;
}

} // namespace

store::operation parse_operation(http_call const& call,
                                 std::string_view object_name)
{
    bool const is_get = call.method == "GET";
    try
    {
        if (call.method == "POST" && call.path == "/table/transact")
            return parse_transaction(call.body);
        if (is_get && call.path == "/table/row")
            return store::get_row{std::string(parameter(call, "key"))};
        if (is_get && call.path == "/table/scan")
            return parse_scan(call);
    }
    catch (json::exception const& failure)
    {
        throw error(error_kind::bad_request, failure.what());
    }
    if (is_get && !object_name.empty())
        return store::get_object{std::string(object_name)};
    if (call.method == "PUT" && !object_name.empty())
        return store::put_object{std::string(object_name), call.body};
    throw error(error_kind::no_route, call.method + ' ' + call.path);
}

http_response render_reply(store::operation const& operation,
                           store::reply const& reply)
{
    if (reply.result == store::status::not_found)
        return render_problem(404, "not found");
    if (reply.result == store::status::condition_failed)
        return {409, json{{"failed", rows_of(reply)}}.dump()};
    if (std::holds_alternative<store::get_object>(operation))
        return {200, reply.content};
    if (std::holds_alternative<store::get_row>(operation))
        return {200, rows_of(reply).at(0).dump()};
    if (std::holds_alternative<store::scan_rows>(operation))
        return {200, json{{"rows", rows_of(reply)}}.dump()};
    json versions = json::object();
    for (store::row const& row : reply.rows)
        versions[row.key] = row.version;
    return {200, json{{"versions", versions}}.dump()};
}

void parse_faults(std::string_view body, faults& active)
{
    faults result = active;
    try
    {
        json const document = json::parse(body);
        std::string const mode = document.value("mode", "");
        if (mode == "up")
            result.mode = mode::up;
        else if (mode == "down")
            result.mode = mode::down;
        else if (mode == "slow")
            result.mode = mode::slow;
        else if (document.contains("mode"))
            throw error(error_kind::bad_request, "mode: allowed: up down slow");
        std::int64_t const slow_ms = document.value(
            "slow_ms",
            static_cast<std::int64_t>(result.slow_time.count() / 1000));
        if (slow_ms < 0 || slow_ms > max_slow_ms)
            throw error(error_kind::bad_request,
                        "slow_ms: allowed: 0 to 10000");
        result.slow_time = std::chrono::milliseconds(slow_ms);
        result.lose_reply = document.value("lose_reply", result.lose_reply);
        if (!(result.lose_reply >= 0 && result.lose_reply <= 1))
            throw error(error_kind::bad_request, "lose_reply: allowed: 0 to 1");
        result.cut_requests =
            document.value("cut_requests", result.cut_requests);
        result.cut_replies = document.value("cut_replies", result.cut_replies);
    }
    catch (json::exception const& failure)
    {
        throw error(error_kind::bad_request, failure.what());
    }
    active = std::move(result);
}

duration parse_copy_age(std::string_view body)
{
    std::int64_t age_ms = 0;
    try
    {
        age_ms = json::parse(body).value("restore_age_ms", std::int64_t{0});
    }
    catch (json::exception const& failure)
    {
        throw error(error_kind::bad_request, failure.what());
    }
    if (age_ms < 0 || age_ms > max_copy_age.count() / 1000)
        throw error(error_kind::bad_request,
                    "restore_age_ms: allowed: 0 to 30000");
    return std::chrono::milliseconds(age_ms);
}

std::string render_faults(faults const& active)
{
    constexpr std::string_view modes[] = {"up", "down", "slow"};
    return json{{"mode", modes[static_cast<int>(active.mode)]},
                {"slow_ms", active.slow_time.count() / 1000},
                {"lose_reply", active.lose_reply},
                {"cut_requests", active.cut_requests},
                {"cut_replies", active.cut_replies}}
        .dump();
}

std::string render_counters(state const& platform)
{
    counters const& counts = platform.call_counts;
    return json{{"reads", counts.reads},
                {"writes", counts.writes},
                {"conflicts", counts.conflicts},
                {"over_rate", counts.over_rate},
                {"refused_down", counts.refused_down},
                {"cut_requests", counts.cut_requests},
                {"lost_replies", counts.lost_replies},
                {"era", platform.era},
                {"rows", platform.rows.size()},
                {"objects", platform.objects.size()}}
        .dump();
}

http_response render_problem(int status, std::string_view detail)
{
    return {status, json{{"status", status}, {"detail", detail}}.dump()};
}

} // namespace gooseberrycove::fake_platform
