#include "documents.hpp"

#include <gooseberrycove/header.hpp>
#include <gooseberrycove/settings.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace gooseberrycove::admin
{

namespace
{

using json = nlohmann::ordered_json;

constexpr std::uint32_t max_slots = 10'000;
constexpr std::uint32_t max_connections = 1'000'000;
constexpr std::uint32_t min_lease_ms = 1'000;
constexpr std::uint32_t max_lease_ms = 60'000;
constexpr std::size_t max_name_length = 128;
constexpr std::size_t max_server_name_length = 1024;
/// One hour; a larger value is probably given in the wrong unit.
constexpr std::uint64_t max_warmup_ms = 3'600'000;

http::response json_response(json const& document, int status = 200)
{
    http::response out;
    out.status = status;
    out.content_type = "application/json";
    out.body = document.dump(-1, ' ', false, json::error_handler_t::replace);
    return out;
}

json to_json(std::span<config::delta const> patches)
{
    json list = json::array();
    for (config::delta const& item : patches)
    {
        json entry{{"version", item.version},
                   {"patch_id", item.patch_id},
                   {"author", item.author}};
        // Stored patches are valid JSON; any other text is returned as a
        // string.
        json const patch = json::parse(item.patch, nullptr, false);
        entry["patch"] = patch.is_discarded() ? json(item.patch) : patch;
        list.push_back(std::move(entry));
    }
    return list;
}

std::string_view state_name(members::peer_state state)
{
    switch (state)
    {
    case members::peer_state::alive:
        return "alive";
    case members::peer_state::suspect:
        return "suspect";
    case members::peer_state::dead:
        return "dead";
    case members::peer_state::leaving:
        break;
    }
    return "leaving";
}

std::string_view state_name(members::server_state state)
{
    switch (state)
    {
    case members::server_state::serving:
        return "serving";
    case members::server_state::draining:
        return "draining";
    case members::server_state::gone:
        break;
    }
    return "gone";
}

[[noreturn]] void throw_invalid_member(std::string_view member,
                                       std::string_view allowed)
{
    throw error(error_kind::bad_request,
                fmt::format("/{}: allowed: {}", member, allowed));
}

std::string read_name(json const& document, char const* member)
{
    auto const found = document.find(member);
    if (found == document.end() || !found->is_string())
        throw_invalid_member(member, "a text");
    std::string value = *found;
    if (value.empty() || value.size() > max_name_length)
        throw_invalid_member(member, "1 to 128 characters");
    for (char const c : value)
    {
        bool const is_allowed =
            (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
            (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
            c == ':' || c == '[' || c == ']';
        if (!is_allowed)
            throw_invalid_member(member, "letters, digits, - _ . : [ ]");
    }
    return value;
}

/// The name of a server from a path. Each request to the server names it in a
/// header.
std::string_view check_server_name(std::string_view name)
{
    if (name.size() > max_server_name_length || !is_header_text(name))
        throw error(error_kind::bad_request,
                    fmt::format("name of the server: allowed: up to {} bytes "
                                "without control characters and outer blanks",
                                max_server_name_length));
    return name;
}

std::uint64_t read_number(json const& document, char const* member,
                          std::uint64_t min, std::uint64_t max,
                          std::uint64_t default_value)
{
    auto const found = document.find(member);
    if (found == document.end())
        return default_value;
    if (!found->is_number_unsigned() || *found < min || *found > max)
        throw_invalid_member(member,
                             fmt::format("an integer from {} to {}", min, max));
    return *found;
}

} // namespace

http::response problem_response(error_kind kind, std::string_view detail)
{
    error_response const& properties = error_response_for(kind);
    http::response out;
    out.status = properties.status;
    out.content_type = "application/problem+json";
    out.body = problem_document(kind, detail, "");
    if (properties.retry_after_s > 0)
        out.headers.push_back(
            {"Retry-After", std::to_string(properties.retry_after_s)});
    return out;
}

http::response to_response(config::patch_result const& result)
{
    if (result.kind == error_kind::none)
    {
        http::response out = json_response({{"version", result.version}});
        out.headers.push_back({"ETag", fmt::format("\"{}\"", result.version)});
        return out;
    }
    json document =
        json::parse(problem_document(result.kind, result.detail, ""));
    if (result.kind == error_kind::stale_version)
    {
        document["version"] = result.version;
        document["since"] = to_json(result.patches_since_base);
    }
    if (result.kind == error_kind::invalid_patch)
    {
        json errors = json::array();
        for (config::patch_error const& item : result.errors)
            errors.push_back({{"path", item.path}, {"what", item.detail}});
        document["faults"] = std::move(errors);
    }
    http::response out =
        json_response(document, error_response_for(result.kind).status);
    out.content_type = "application/problem+json";
    return out;
}

http::response history_response(std::span<config::delta const> patches)
{
    return json_response({{"patches", to_json(patches)}});
}

http::response servers_response(members::listing const& directory)
{
    json list = json::array();
    for (members::server_record const& item : directory.servers)
    {
        json entry{{"server", item.server},
                   {"service", item.service},
                   {"state", state_name(item.state)},
                   {"health", to_string(item.health)},
                   {"score", item.score},
                   {"slots", item.slots},
                   {"home", fmt::format("{:016x}", item.home.id)}};
        for (members::peer_record const& peer : directory.peers)
        {
            if (peer.daemon.id != item.home.id)
                continue;
            entry["home_name"] = peer.name;
            entry["home_admin"] = peer.admin_address;
        }
        for (server_status const& status : directory.statuses)
        {
            if (status.server != item.server)
                continue;
            entry["in_flight"] = status.in_flight;
            entry["queued"] = status.queued;
        }
        list.push_back(std::move(entry));
    }
    return json_response({{"servers", std::move(list)}});
}

http::response daemons_response(members::listing const& directory)
{
    json list = json::array();
    for (members::peer_record const& item : directory.peers)
        list.push_back({{"name", item.name},
                        {"id", fmt::format("{:016x}", item.daemon.id)},
                        {"incarnation", item.daemon.incarnation},
                        {"data_centre", item.data_centre},
                        {"address", item.address},
                        {"admin", item.admin_address},
                        {"state", state_name(item.state)},
                        {"config_version", item.config_version}});
    return json_response({{"daemons", std::move(list)}});
}

http::response
services_response(std::span<routing::service_summary const> summaries)
{
    json list = json::array();
    for (routing::service_summary const& item : summaries)
        list.push_back({{"service", item.service},
                        {"floor_slots", item.floor_slots},
                        {"healthy_slots", item.healthy_slots},
                        {"servers", item.servers},
                        {"ejected", item.ejected}});
    return json_response({{"services", std::move(list)}});
}

namespace
{

json explained_candidate(routing::explanation::entry const& item)
{
    json entry{{"server", item.server_info.server},
               {"eligible", item.eligible},
               {"reason", item.reason},
               {"health", to_string(item.server_info.health)},
               {"state", state_name(item.server_info.state)},
               {"in_flight", item.server_info.in_flight},
               {"queued", item.server_info.queued},
               {"slots", item.server_info.slots},
               {"data_centre", item.server_info.home_data_centre},
               {"local", item.is_local},
               {"load", item.load},
               {"failure_probability", item.failure_probability},
               {"cost_inside", item.cost_inside},
               {"cost_outside", item.cost_outside}};
    if (item.news_age)
        entry["news_age_ms"] = item.news_age->count() / 1000;
    return entry;
}

} // namespace

http::response explain_response(routing::explanation const& decision)
{
    if (decision.kind != error_kind::none)
    {
        http::response out = problem_response(decision.kind, decision.detail);
        // 401 would stand for a wrong administration key.
        if (decision.kind != error_kind::no_configuration)
            out.status = 404;
        return out;
    }
    json list = json::array();
    for (routing::explanation::entry const& item : decision.candidates)
        list.push_back(explained_candidate(item));
    json document{{"route", decision.route},
                  {"service", decision.service},
                  {"priority", decision.priority},
                  {"repeatable", decision.repeatable},
                  {"needs_account", decision.needs_account},
                  {"needs_claim", decision.needs_claim},
                  {"timeout_ms", decision.timeout.count() / 1000},
                  {"attempts", decision.attempts},
                  {"max_body_bytes", decision.max_body_bytes},
                  {"floor_slots", decision.floor_slots},
                  {"healthy_slots", decision.healthy_slots},
                  {"chosen", decision.chosen_server},
                  {"chosen_reason", decision.chosen_reason},
                  {"candidates", std::move(list)}};
    if (decision.entry_refusal != error_kind::none)
    {
        document["refused"] = error_response_for(decision.entry_refusal).name;
        document["refused_by"] = decision.entry_rule;
    }
    if (!decision.account.empty())
    {
        document["account"] = decision.account;
        document["account_rate"] = decision.account_rate;
        document["account_burst"] = decision.account_burst;
    }
    if (decision.account_tokens)
        document["account_tokens"] = *decision.account_tokens;
    return json_response(document);
}

members::announcement read_announcement(std::string_view body,
                                        std::string_view server)
{
    json const document = json::parse(body, nullptr, false);
    if (!document.is_object())
        throw error(error_kind::bad_request, "allowed: a JSON object");
    members::announcement out;
    if (!server.empty() &&
        !(document.contains("slots") && document.contains("state")))
        throw_invalid_member("", "an object with slots and state");
    out.server = server.empty() ? read_name(document, "name")
                                : std::string(check_server_name(server));
    out.service = read_name(document, "service");
    out.address = read_name(document, "address");
    if (!is_address(out.address))
        throw_invalid_member("address", "ip:port");
    out.slots = static_cast<std::uint32_t>(
        read_number(document, "slots", 1, max_slots, 1));
    out.connections = static_cast<std::uint32_t>(read_number(
        document, "connections", 1, max_connections, max_connections));
    out.incarnation = read_number(document, "born", 0, UINT64_MAX, 0);
    out.incarnation =
        read_number(document, "incarnation", 0, UINT64_MAX, out.incarnation);
    out.sequence = read_number(document, "sequence", 0, UINT64_MAX, 0);
    out.warmup = std::chrono::milliseconds(
        read_number(document, "warmup_ms", 0, max_warmup_ms, 0));
    out.lease = std::chrono::milliseconds(
        read_number(document, "lease_ms", min_lease_ms, max_lease_ms, 6'000));
    auto const state = document.find("state");
    if (state != document.end() && *state != "serving" && *state != "draining")
        throw_invalid_member("state", "serving, draining");
    if (state != document.end() && *state == "draining")
        out.state = members::server_state::draining;
    auto const load = document.find("load");
    if (load != document.end() && !load->is_number())
        throw_invalid_member("load", "a number");
    if (load != document.end())
        out.load = *load;
    return out;
}

members::announcement read_withdrawal(std::string_view body,
                                      std::string_view server)
{
    members::announcement out;
    out.server = check_server_name(server);
    out.state = members::server_state::gone;
    json const document = json::parse(body, nullptr, false);
    if (document.is_object())
        out.incarnation = read_number(document, "born", 0, UINT64_MAX, 0);
    return out;
}

std::uint64_t read_version(std::string_view if_match)
{
    std::string_view text = if_match;
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    std::uint64_t version = 0;
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        throw error(error_kind::bad_request,
                    "If-Match: allowed: the configuration version, as \"17\"");
    return version;
}

} // namespace gooseberrycove::admin
