#include "evidence/response_body.hpp"

#include <gooseberrycove/types.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace gooseberrycove::evidence
{

namespace
{

std::string compute_checksum(response_body const& body, std::string_view filler)
{
    std::string const checked_text =
        fmt::format("{}\n{}\n{}\n{}\n{}", body.request_id, body.server,
                    body.service, body.sequence, filler);
    return fmt::format("{:016x}", hash_name(checked_text));
}

/// The filler depends on the request, so that bytes of another body are
/// detected.
std::string make_filler(std::string_view request_id, std::size_t size)
{
    std::string const pattern = fmt::format("{:016x}", hash_name(request_id));
    std::string filler;
    filler.reserve(size + pattern.size());
    while (filler.size() < size)
        filler += pattern;
    filler.resize(size);
    return filler;
}

} // namespace

std::string make_response_body(response_body const& body,
                               std::size_t filler_size)
{
    std::string filler =
        make_filler(body.request_id, std::min(filler_size, max_filler_size));
    nlohmann::ordered_json object;
    object["request_id"] = body.request_id;
    object["server"] = body.server;
    object["service"] = body.service;
    object["sequence"] = body.sequence;
    object["checksum"] = compute_checksum(body, filler);
    object["filler"] = std::move(filler);
    return object.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<response_body> parse_response_body(std::string_view text)
{
    auto const object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    try
    {
        response_body const body{object.at("request_id").get<std::string>(),
                                 object.at("server").get<std::string>(),
                                 object.at("service").get<std::string>(),
                                 object.at("sequence").get<std::uint64_t>()};
        auto const& filler = object.at("filler").get_ref<std::string const&>();
        if (object.at("checksum").get<std::string>() !=
            compute_checksum(body, filler))
            return std::nullopt;
        return body;
    }
    catch (nlohmann::json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace gooseberrycove::evidence
