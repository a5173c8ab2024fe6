#include "members/withdrawal_row.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace gooseberrycove::members
{

namespace
{

using nlohmann::json;

constexpr std::string_view gone_name = "gone";
constexpr std::string_view draining_name = "draining";

json render(stored_withdrawal const& item)
{
    return {
        {"server", item.server},
        {"incarnation", item.number.incarnation},
        {"sequence", item.number.sequence},
        {"state", item.state == server_state::gone ? gone_name : draining_name},
        {"unix_ms", item.unix_ms},
    };
}

stored_withdrawal parse_withdrawal(json const& item)
{
    stored_withdrawal parsed;
    parsed.server = item.at("server");
    parsed.number = {item.at("incarnation"), item.at("sequence")};
    parsed.state = item.at("state") == gone_name ? server_state::gone
                                                 : server_state::draining;
    parsed.unix_ms = item.at("unix_ms");
    return parsed;
}

} // namespace

std::string withdrawal_row_key(std::uint64_t daemon_id)
{
    return fmt::format("{}{:016x}", withdrawal_row_prefix, daemon_id);
}

std::string render_withdrawal_record(withdrawal_record const& record)
{
    json document{{"unix_ms", record.unix_ms},
                  {"withdrawals", json::array()},
                  {"drains", json::array()}};
    for (stored_withdrawal const& item : record.withdrawals)
        document["withdrawals"].push_back(render(item));
    for (stored_drain const& item : record.drains)
        document["drains"].push_back(
            {{"server", item.server}, {"changes", item.changes}});
    // Names come from announcements and may hold invalid UTF-8.
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<withdrawal_record> parse_withdrawal_record(std::string_view text)
try
{
    json const document = json::parse(text);
    withdrawal_record record;
    record.unix_ms = document.at("unix_ms");
    for (json const& item : document.at("withdrawals"))
        record.withdrawals.push_back(parse_withdrawal(item));
    for (json const& item : document.at("drains"))
        record.drains.push_back({item.at("server"), item.at("changes")});
    return record;
}
catch (json::exception const&)
{
    return std::nullopt;
}

} // namespace gooseberrycove::members
