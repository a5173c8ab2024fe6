#include "store/http_codec.hpp"

#include <gooseberrycove/uri.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace gooseberrycove::store
{

namespace
{

using nlohmann::json;

http_call encode_operation(get_row const& op)
{
    return {"GET", "/table/row?key=" + uri::percent_encode(op.key), "", false};
}

/// This interface cannot wait for a change and replies at once, so the
/// requester has to repeat the call.
http_call encode_operation(watch_row const& op)
{
    return encode_operation(get_row{op.key});
}

http_call encode_operation(scan_rows const& op)
{
    return {"GET",
            fmt::format("/table/scan?prefix={}&after={}&limit={}",
                        uri::percent_encode(op.prefix),
                        uri::percent_encode(op.after), op.limit),
            "", false};
}

http_call encode_operation(transaction const& op)
{
    json document{{"conditions", json::array()},
                  {"puts", json::array()},
                  {"deletes", op.deletes}};
    for (condition const& item : op.conditions)
        document["conditions"].push_back(
            {{"key", item.key}, {"version", item.version}});
    for (put const& item : op.puts)
        document["puts"].push_back({{"key", item.key}, {"value", item.value}});
    // Invalid UTF-8 is replaced, because otherwise dump() throws on the store
    // thread for text that was received from other processes.
    return {"POST", "/table/transact",
            document.dump(-1, ' ', false, json::error_handler_t::replace),
            true};
}

http_call encode_operation(get_object const& op)
{
    return {"GET", "/object/" + uri::percent_encode(op.name), "", false};
}

http_call encode_operation(put_object const& op)
{
    return {"PUT", "/object/" + uri::percent_encode(op.name), op.content, true};
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

/// Reads the body of a response with status 200.
/// \throws json::exception when the body is invalid
void read_success(operation const& op, std::string_view body, reply& result)
{
    if (std::holds_alternative<get_object>(op))
        result.content = body;
    else if (std::holds_alternative<get_row>(op) ||
             std::holds_alternative<watch_row>(op))
        result.rows = {read_row(json::parse(body))};
    else if (std::holds_alternative<scan_rows>(op))
        result.rows = read_rows(json::parse(body).at("rows"));
    else if (std::holds_alternative<transaction>(op))
    {
        json const document = json::parse(body);
        for (auto const& [key, version] : document.at("versions").items())
            result.rows.push_back({key, version, {}});
    }
}

status classify_end(operation const& op, transfer_end const& end)
{
    if (!end.complete)
        return end.sent ? status::unknown : status::refused;
    bool const is_transaction = std::holds_alternative<transaction>(op);
    switch (end.status)
    {
    case 200:
        return status::ok;
    // The platform responds with these statuses before it runs an operation.
    case 400:
    case 413:
    case 429:
    case 503:
        return status::refused;
    case 404:
        return is_transaction ? status::refused : status::not_found;
    case 410:
        return is_transaction ? status::refused : status::history_lost;
    case 409:
        return is_transaction ? status::condition_failed : status::unknown;
    default:
        return status::unknown;
    }
}

} // namespace

http_call encode(operation const& op)
{
    return std::visit([](auto const& typed) { return encode_operation(typed); },
                      op);
}

reply decode(operation const& op, std::uint64_t number, transfer_end const& end)
{
    reply result;
    result.number = number;
    result.result = classify_end(op, end);
    try
    {
        if (result.result == status::ok)
            read_success(op, end.body, result);
        if (result.result == status::condition_failed)
            result.rows = read_rows(json::parse(end.body).at("failed"));
    }
    catch (json::exception const&)
    {
        reply unknown_reply;
        unknown_reply.number = number;
        return unknown_reply;
    }
    return result;
}

protocol fake_platform_protocol()
{
    return {encode, decode, "Store-Era"};
}

} // namespace gooseberrycove::store
