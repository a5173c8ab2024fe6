#include "claims/row.hpp"

#include <gooseberrycove/status.hpp>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <span>

namespace gooseberrycove::claims
{

namespace
{

using json = nlohmann::json;

/// Response bodies are stored as base64, because JSON text must be UTF-8 and a
/// body need not be.
std::string to_base64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<unsigned char const*>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return text;
}

std::string from_base64(std::string_view text)
{
    std::string bytes(3 * (text.size() / 4), '\0');
    int const size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    if (size < 0)
        throw error(error_kind::internal,
                    "a field of the claim row is not base64");
    std::size_t const padding =
        text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

json to_json(daemon_ref daemon)
{
    return json::array({daemon.id, daemon.incarnation});
}

daemon_ref to_daemon(json const& value)
{
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

json to_json(std::span<header_field const> headers)
{
    json fields = json::array();
    for (header_field const& field : headers)
        fields.push_back(
            json::array({to_base64(field.name), to_base64(field.value)}));
    return fields;
}

std::vector<header_field> to_headers(json const& fields)
{
    std::vector<header_field> headers;
    for (json const& field : fields)
        headers.push_back({from_base64(field.at(0).get<std::string>()),
                           from_base64(field.at(1).get<std::string>())});
    return headers;
}

json to_json(work_result const& result)
{
    return {{"status", result.status},
            {"content_type", to_base64(result.content_type)},
            {"headers", to_json(result.headers)},
            {"body", to_base64(result.body)},
            {"server", result.server}};
}

work_result to_result(json const& value)
{
    work_result result;
    result.run_outcome = outcome::ran;
    result.status = value.at("status").get<int>();
    if (!is_final_status(result.status))
    {
        // Rows written by earlier versions may have such a status.
        result.kind = error_kind::answer_cut;
        result.run_outcome = outcome::unknown;
        result.status = error_response_for(result.kind).status;
        return result;
    }
    result.content_type =
        from_base64(value.at("content_type").get<std::string>());
    // Rows written by earlier versions have no headers.
    if (auto const headers = value.find("headers"); headers != value.end())
        result.headers = to_headers(*headers);
    result.body = from_base64(value.at("body").get<std::string>());
    result.server = value.at("server").get<std::string>();
    return result;
}

claim_row to_row(json const& value)
{
    claim_row row;
    row.id = value.at("id").get<std::string>();
    row.epoch = value.at("epoch").get<std::uint64_t>();
    row.grant = value.at("grant").get<std::string>();
    row.body_hash = value.at("body_hash").get<std::uint64_t>();
    for (json const& home : value.at("homes"))
        row.homes.push_back({to_daemon(home.at("daemon")), home.at("address")});
    row.claimant = to_daemon(value.at("claimant"));
    row.written = value.at("written").get<std::uint64_t>();
    row.is_done = value.at("state").get<std::string>() == "done";
    // Absent while the store reports no era.
    if (auto const granted = value.find("granted"); granted != value.end())
    {
        row.era = granted->at(0).get<std::uint64_t>();
        row.granted_version = granted->at(1).get<std::uint64_t>();
    }
    if (row.is_done)
        row.result = to_result(value.at("answer"));
    return row;
}

} // namespace

std::string row_key(std::string_view account, std::string_view key)
{
    std::string result = "claim/";
    result.append(account).append("/").append(key);
    return result;
}

std::string encode_row(claim_row const& row)
{
    json homes = json::array();
    for (claim_home const& home : row.homes)
        homes.push_back(
            {{"daemon", to_json(home.daemon)}, {"address", home.address}});
    json value = {{"id", row.id},
                  {"epoch", row.epoch},
                  {"grant", row.grant},
                  {"body_hash", row.body_hash},
                  {"homes", std::move(homes)},
                  {"claimant", to_json(row.claimant)},
                  {"written", row.written},
                  {"state", row.is_done ? "done" : "claimed"}};
    if (row.era > 0)
        value["granted"] = json::array({row.era, row.granted_version});
    if (row.is_done)
        value["answer"] = to_json(row.result);
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<claim_row> decode_row(std::string_view text)
{
    try
    {
        return to_row(json::parse(text));
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
    catch (error const&)
    {
        return std::nullopt;
    }
}

} // namespace gooseberrycove::claims
