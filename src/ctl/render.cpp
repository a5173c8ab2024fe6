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
constexpr std::string_view candidate_columns[] = {"server", "eligible",
                                                  "reason"};

/// One cell; objects and arrays as JSON in one line.
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
    for (std::string_view key : {"route", "service", "priority", "repeatable",
                                 "floor_slots", "healthy_slots", "kind"})
    {
        if (body.contains(key))
            out += fmt::format("{:<14}{}\n", key, cell(body, key));
    }
    return out + render_table(body.value("candidates", json::array()),
                              candidate_columns);
}

std::string render_done(command const& asked, options const& flags,
                        json const& body)
{
    switch (asked.what)
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
        body.at("version").dump(), flags.base);
    json const since = body.value("since", json::array());
    if (since.empty())
        return out;
    out += "patches since:\n";
    return out + render_table(since, patch_columns);
}

std::string render_faults(json const& body)
{
    std::string out = "the patch was refused:\n";
    for (json const& one : body.at("faults"))
    {
        std::string const path = cell(one, "path");
        out += fmt::format("  {}: {}\n", path.empty() ? "(whole patch)" : path,
                           cell(one, "what"));
    }
    return out;
}

/// A problem document, or any other answer of a daemon that refuses.
std::string render_problem(command const& asked, options const& flags,
                           int status, json const& body)
{
    if (!body.is_object() || !body.contains("kind"))
        return fmt::format("refused with status {}\n", status);
    std::string out = fmt::format("{} ({}): {}\n", cell(body, "kind"), status,
                                  cell(body, "detail"));
    bool const unknown = cell(body, "outcome") == "unknown";
    if (asked.what == verb::config_patch && unknown)
        out += fmt::format("the patch may be in force; submitting it again "
                           "with --patch_id={} does not apply it twice\n",
                           flags.patch_id);
    return out;
}

printed render_refusal(command const& asked, options const& flags, int status,
                       json const& body)
{
    bool const patch = asked.what == verb::config_patch && body.is_object();
    if (patch && status == 412 && body.contains("version"))
        return {exit_stale, {}, render_stale(flags, body)};
    if (patch && status == 422 && body.contains("faults"))
        return {exit_refused, {}, render_faults(body)};
    int const code =
        patch && status == 412 ? int{exit_stale} : int{exit_refused};
    return {code, {}, render_problem(asked, flags, status, body)};
}

printed render_diff(http_answer const& answer, json const& document,
                    std::string_view file)
{
    json const wanted = json::parse(file, nullptr, false);
    if (!wanted.is_object())
        return {exit_usage, {}, "the file is not a JSON object\n"};
    return {exit_ok, merge_diff(document, wanted).dump(2) + '\n',
            fmt::format("version {}\n", answer.version)};
}

} // namespace

std::uint64_t newest_version(http_answer const& answer, std::uint64_t since)
{
    json const body = json::parse(answer.body, nullptr, false);
    if (!body.is_object())
        return since;
    json const patches = body.value("patches", json::array());
    for (json const& one : patches)
        since = std::max(since, one.value("version", std::uint64_t{0}));
    return since;
}

json merge_diff(json const& from, json const& to)
{
    if (!from.is_object() || !to.is_object())
        return to;
    json patch = json::object();
    for (auto const& [key, value] : from.items())
    {
        if (!to.contains(key))
            patch[key] = nullptr;
    }
    for (auto const& [key, value] : to.items())
    {
        if (!from.contains(key))
            patch[key] = value;
        else if (from[key] != value)
            patch[key] = merge_diff(from[key], value);
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

printed render_answer(command const& asked, options const& flags,
                      http_answer const& answer, std::string_view file,
                      bool as_json)
{
    json const body = json::parse(answer.body, nullptr, false);
    if (answer.status != 200)
    {
        printed result = render_refusal(asked, flags, answer.status, body);
        if (as_json)
            result.output = answer.body + '\n';
        return result;
    }
    // Drain answers may have no body.
    if (asked.what == verb::drain || asked.what == verb::undrain)
        return {exit_ok, as_json ? answer.body + '\n' : "done\n", {}};
    if (body.is_discarded())
        return {exit_refused, {}, "the daemon's answer is not JSON\n"};
    try
    {
        if (asked.what == verb::config_diff)
            return render_diff(answer, body, file);
        printed result;
        result.output =
            as_json ? body.dump(2) + '\n' : render_done(asked, flags, body);
        if (asked.what == verb::config_get)
            result.errors = fmt::format("version {}\n", answer.version);
        return result;
    }
    catch (json::exception const& fault)
    {
        return {exit_refused,
                {},
                fmt::format("the daemon's answer lacks a member: {}\n",
                            fault.what())};
    }
}

} // namespace gooseberrycove::ctl
