#include "store/http_codec.hpp"

#include <gooseberrycove/uri.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace gooseberrycove::store
{

namespace
{

using nlohmann::json;

http_call encode_one(get_row const& what)
{
    return {"GET", "/table/row?key=" + uri::percent_encode(what.key), "",
            false};
}

/// This interface answers at once, so its users repeat the call.
http_call encode_one(watch_row const& what)
{
    return encode_one(get_row{what.key});
}

http_call encode_one(scan_rows const& what)
{
    return {"GET",
            fmt::format("/table/scan?prefix={}&after={}&limit={}",
                        uri::percent_encode(what.prefix),
                        uri::percent_encode(what.after), what.limit),
            "", false};
}

http_call encode_one(transaction const& what)
{
    json document{{"conditions", json::array()},
                  {"puts", json::array()},
                  {"deletes", what.deletes}};
    for (condition const& item : what.conditions)
        document["conditions"].push_back(
            {{"key", item.key}, {"version", item.version}});
    for (put const& item : what.puts)
        document["puts"].push_back({{"key", item.key}, {"value", item.value}});
    // Invalid UTF-8 is replaced, because dump() would throw on the store
    // thread for text that came from outside.
    return {"POST", "/table/transact",
            document.dump(-1, ' ', false, json::error_handler_t::replace),
            true};
}

http_call encode_one(get_object const& what)
{
    return {"GET", "/object/" + uri::percent_encode(what.name), "", false};
}

http_call encode_one(put_object const& what)
{
    return {"PUT", "/object/" + uri::percent_encode(what.name), what.content,
            true};
}

row read_row(json const& item)
{
    return {item.at("key"), item.at("version"), item.at("value")};
}

std::vector<row> read_rows(json const& list)
{
    std::vector<row> rows;
    for (json const& item : list)
        rows.push_back(read_row(item));
    return rows;
}

/// Reads the body of a 200. \throws json::exception
void read_success(operation const& what, std::string_view body, reply& result)
{
    if (std::holds_alternative<get_object>(what))
        result.content = body;
    else if (std::holds_alternative<get_row>(what) ||
             std::holds_alternative<watch_row>(what))
        result.rows = {read_row(json::parse(body))};
    else if (std::holds_alternative<scan_rows>(what))
        result.rows = read_rows(json::parse(body).at("rows"));
    else if (std::holds_alternative<transaction>(what))
    {
        json const document = json::parse(body);
        for (auto const& [key, version] : document.at("versions").items())
            result.rows.push_back({key, version, {}});
    }
}

status status_of(operation const& what, transfer_end const& end)
{
    if (!end.complete)
        return end.sent ? status::unknown : status::refused;
    bool const transacts = std::holds_alternative<transaction>(what);
    switch (end.status)
    {
    case 200:
        return status::ok;
    // The platform answers these before it runs an operation.
    case 400:
    case 413:
    case 429:
    case 503:
        return status::refused;
    case 404:
        return transacts ? status::refused : status::not_found;
    case 409:
        return transacts ? status::condition_failed : status::unknown;
    default:
        return status::unknown;
    }
}

} // namespace

http_call encode(operation const& what)
{
    return std::visit([](auto const& one) { return encode_one(one); }, what);
}

reply decode(operation const& what, std::uint64_t number,
             transfer_end const& end)
{
    reply result;
    result.number = number;
    result.result = status_of(what, end);
    try
    {
        if (result.result == status::ok)
            read_success(what, end.body, result);
        if (result.result == status::condition_failed)
            result.rows = read_rows(json::parse(end.body).at("failed"));
    }
    catch (json::exception const&)
    {
        reply unreadable;
        unreadable.number = number;
        return unreadable;
    }
    return result;
}

protocol fake_platform_protocol()
{
    return {encode, decode};
}

} // namespace gooseberrycove::store
