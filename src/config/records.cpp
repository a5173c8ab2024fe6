#include "config/records.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace gooseberrycove::config
{

namespace
{

using nlohmann::json;

std::vector<source_field> read_source(json const& row)
{
    std::vector<source_field> fields;
    auto const source = row.find("source");
    if (source == row.end())
        return fields;
    for (auto const& [name, value] : source->items())
    {
        if (fields.size() == max_source_fields)
            break;
        if (value.is_string())
            fields.push_back({name, value.get<std::string>()});
        else if (value.is_number())
            fields.push_back({name, value.dump()});
    }
    return fields;
}

/// Patch ids and authors come from headers and may hold invalid UTF-8.
std::string dump(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string patch_key(std::uint64_t version)
{
    return fmt::format("{}{:012}", patch_prefix, version);
}

std::string snapshot_name(std::uint64_t version)
{
    return fmt::format("config/snapshot/{}", version);
}

std::string render_head(head_record const& head)
{
    return dump({{"version", head.version}, {"patch_id", head.patch_id}});
}

std::optional<head_record> parse_head(std::string_view text)
try
{
    json const document = json::parse(text);
    return head_record{document.at("version"), document.at("patch_id")};
}
catch (json::exception const&)
{
    return std::nullopt;
}

std::optional<stored_document> parse_stored_document(std::string_view text)
try
{
    json const row = json::parse(text);
    return stored_document{row.at("version"), row.at("document").dump(),
                           read_source(row)};
}
catch (json::exception const&)
{
    return std::nullopt;
}

std::string render_delta(delta const& record)
{
    return dump({{"version", record.version},
                 {"patch_id", record.patch_id},
                 {"author", record.author},
                 {"patch", record.patch}});
}

std::optional<delta> parse_delta(std::string_view text)
try
{
    json const document = json::parse(text);
    return delta{document.at("version"), document.at("patch_id"),
                 document.at("author"), document.at("patch")};
}
catch (json::exception const&)
{
    return std::nullopt;
}

} // namespace gooseberrycove::config
