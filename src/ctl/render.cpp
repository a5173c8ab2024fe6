#include "ctl/render.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::ctl
{

namespace
{

using nlohmann::json;

constexpr std::string_view service_columns[] = {
    "service", "floor_slots", "healthy_slots", "servers", "ejected"};
constexpr std::string_view server_columns[] = {
    "server", "service", "state", "health", "score", "slots", "home"};
constexpr std::string_view daemon_columns[] = {
    "name",    "id",    "incarnation",   "data_centre",
    "address", "state", "config_version"};
constexpr std::string_view patch_columns[] = {"version", "patch_id", "author",
                                              "patch"};
constexpr std::string_view candidate_columns[] = {
    "server",      "eligible",    "reason",
    "data_centre", "load",        "failure_probability",
    "news_age_ms", "cost_inside", "cost_outside"};

/// Text of one table cell; objects and arrays are written as JSON on one line.
std::string cell(json const& row, std::string_view column)
{
    auto const found = row.is_object() ? row.find(column) : row.end();
    if (!row.is_object() || found == row.end() || found->is_null())
        return "-";
    if (found->is_string())
        return found->get<std::string>();
    if (found->is_number_float())
        return fmt::format("{:.2f}", found->get<double>());
    return found->dump();
}

std::string render_explanation(json const& body)
{
    std::string out;
    for (std::string_view key :
         {"route", "service", "priority", "repeatable", "needs_account",
          "needs_claim", "timeout_ms", "attempts", "max_body_bytes", "account",
          "account_rate", "account_burst", "account_tokens", "floor_slots",
          "healthy_slots", "refused", "refused_by", "chosen", "chosen_reason"})
    {
        if (body.contains(key))
            out += fmt::format("{:<16}{}\n", key, cell(body, key));
    }
    return out + render_table(body.value("candidates", json::array()),
                              candidate_columns);
}

std::string render_success(command const& requested, options const& flags,
                           json const& body)
{
    switch (requested.action)
    {
    case verb::services:
        return render_table(body.at("services"), service_columns);
    case verb::servers:
        return render_table(body.at("servers"), server_columns);
    case verb::daemons:
        return render_table(body.at("daemons"), daemon_columns);
    case verb::config_history:
    case verb::config_watch:
        return render_table(body.at("patches"), patch_columns);
    case verb::config_patch:
        return fmt::format("version {} is in force, patch_id {}\n",
                           body.at("version").dump(), flags.patch_id);
    case verb::explain:
        return render_explanation(body);
    default:
        return body.dump(2) + '\n';
    }
}

std::string render_stale(options const& flags, json const& body)
{
    std::string out = fmt::format(
        "stale: version {} is in force, the patch is based on version {}\n",
        body.at("version").dump(), flags.base_version);
    json const since = body.value("since", json::array());
    if (since.empty())
        return out;
    out += "patches since:\n";
    return out + render_table(since, patch_columns);
}

std::string render_patch_errors(json const& body)
{
    std::string out = "the patch was refused:\n";
    for (json const& patch_error : body.at("faults"))
    {
        std::string const path = cell(patch_error, "path");
        out += fmt::format("  {}: {}\n", path.empty() ? "(whole patch)" : path,
                           cell(patch_error, "what"));
    }
    return out;
}

/// Text for a problem document or another response with an error status.
std::string render_problem(command const& requested, options const& flags,
                           int status, json const& body)
{
    if (!body.is_object() || !body.contains("kind"))
        return fmt::format("refused with status {}\n", status);
    std::string out = fmt::format("{} ({}): {}\n", cell(body, "kind"), status,
                                  cell(body, "detail"));
    bool const is_unknown = cell(body, "outcome") == "unknown";
    if (requested.action == verb::config_patch && is_unknown)
        out += fmt::format("the patch may be in force; submitting it again "
                           "with --patch_id={} does not apply it twice\n",
                           flags.patch_id);
    return out;
}

command_output render_refusal(command const& requested, options const& flags,
                              int status, json const& body)
{
    bool const is_patch =
        requested.action == verb::config_patch && body.is_object();
    if (is_patch && status == 412 && body.contains("version"))
        return {exit_stale, {}, render_stale(flags, body)};
    if (is_patch && status == 422 && body.contains("faults"))
        return {exit_refused, {}, render_patch_errors(body)};
    bool const is_unknown_target =
        requested.action == verb::explain && status == 404;
    if (is_unknown_target)
        return {
            exit_not_found, {}, render_problem(requested, flags, status, body)};
    int const code =
        is_patch && status == 412 ? int{exit_stale} : int{exit_refused};
    return {code, {}, render_problem(requested, flags, status, body)};
}

command_output render_diff(http_response const& response, json const& document,
                           std::string_view file_content)
{
    json const wanted = json::parse(file_content, nullptr, false);
    if (!wanted.is_object())
        return {exit_usage, {}, "the file is not a JSON object\n"};
    return {exit_ok, make_merge_patch(document, wanted).dump(2) + '\n',
            fmt::format("version {}\n", response.version)};
}

} // namespace

std::string admin_address_of(std::string_view daemons, std::string_view name)
{
    json const body = json::parse(daemons, nullptr, false);
    if (!body.is_object())
        return {};
    for (json const& daemon : body.value("daemons", json::array()))
    {
        if (cell(daemon, "name") == name)
            return cell(daemon, "admin");
    }
    return {};
}

std::uint64_t newest_version(http_response const& response, std::uint64_t since)
{
    json const body = json::parse(response.body, nullptr, false);
    if (!body.is_object())
        return since;
    json const patches = body.value("patches", json::array());
    for (json const& patch : patches)
        since = std::max(since, patch.value("version", std::uint64_t{0}));
    return since;
}

json make_merge_patch(json const& current, json const& wanted)
{
    if (!current.is_object() || !wanted.is_object())
        return wanted;
    json patch = json::object();
    for (auto const& [key, value] : current.items())
    {
        if (!wanted.contains(key))
            patch[key] = nullptr;
    }
    for (auto const& [key, value] : wanted.items())
    {
        if (!current.contains(key))
            patch[key] = value;
        else if (current[key] != value)
            patch[key] = make_merge_patch(current[key], value);
    }
    return patch;
}

std::string render_table(json const& rows,
                         std::span<std::string_view const> columns)
{
    std::vector<std::vector<std::string>> lines;
    lines.emplace_back(columns.begin(), columns.end());
    for (json const& row : rows)
    {
        auto& line = lines.emplace_back();
        for (std::string_view column : columns)
            line.push_back(cell(row, column));
    }
    std::vector<std::size_t> widths(columns.size());
    for (auto const& line : lines)
    {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string out;
    for (auto const& line : lines)
    {
        std::string text;
        for (std::size_t i = 0; i < line.size(); ++i)
            text += fmt::format("{:<{}}  ", line[i], widths[i]);
        text.erase(text.find_last_not_of(' ') + 1);
        out += text + '\n';
    }
    return out;
}

command_output render_response(command const& requested, options const& flags,
                               http_response const& response,
                               std::string_view file_content, bool as_json)
{
    json const body = json::parse(response.body, nullptr, false);
    if (response.status != 200)
    {
        command_output result =
            render_refusal(requested, flags, response.status, body);
        if (as_json)
            result.text = response.body + '\n';
        return result;
    }
    // Responses to drain and undrain may have no body.
    if (requested.action == verb::drain || requested.action == verb::undrain)
        return {exit_ok, as_json ? response.body + '\n' : "done\n", {}};
    if (body.is_discarded())
        return {exit_refused, {}, "the daemon's answer is not JSON\n"};
    try
    {
        if (requested.action == verb::config_diff)
            return render_diff(response, body, file_content);
        command_output result;
        result.text = as_json ? body.dump(2) + '\n'
                              : render_success(requested, flags, body);
        if (requested.action == verb::config_get)
            result.errors = fmt::format("version {}\n", response.version);
        return result;
    }
    catch (json::exception const& failure)
    {
        return {exit_refused,
                {},
                fmt::format("the daemon's answer lacks a member: {}\n",
                            failure.what())};
    }
}

} // namespace gooseberrycove::ctl
