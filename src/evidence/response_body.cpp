#include "evidence/response_body.hpp"

#include <gooseberrycove/types.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace gooseberrycove::evidence
{

namespace
{

std::string checksum_of(answer_body const& what, std::string_view filler)
{
    std::string const covered =
        fmt::format("{}\n{}\n{}\n{}\n{}", what.request_id, what.server,
                    what.service, what.sequence, filler);
    return fmt::format("{:016x}", hash_name(covered));
}

/// The filler depends on the request, so bytes of another body do not fit.
std::string make_filler(std::string_view request, std::size_t size)
{
    std::string const unit = fmt::format("{:016x}", hash_name(request));
    std::string filler;
    filler.reserve(size + unit.size());
    while (filler.size() < size)
        filler += unit;
    filler.resize(size);
    return filler;
}

} // namespace

std::string make_answer_body(answer_body const& what, std::size_t filler_size)
{
    std::string filler =
        make_filler(what.request_id, std::min(filler_size, max_filler));
    nlohmann::ordered_json out;
    out["request_id"] = what.request_id;
    out["server"] = what.server;
    out["service"] = what.service;
    out["sequence"] = what.sequence;
    out["checksum"] = checksum_of(what, filler);
    out["filler"] = std::move(filler);
    return out.dump(-1, ' ', false,
                    nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<answer_body> read_answer_body(std::string_view text)
{
    auto const in = nlohmann::json::parse(text, nullptr, false);
    if (!in.is_object())
        return std::nullopt;
    try
    {
        answer_body const what{in.at("request_id").get<std::string>(),
                               in.at("server").get<std::string>(),
                               in.at("service").get<std::string>(),
                               in.at("sequence").get<std::uint64_t>()};
        auto const& filler = in.at("filler").get_ref<std::string const&>();
        if (in.at("checksum").get<std::string>() != checksum_of(what, filler))
            return std::nullopt;
        return what;
    }
    catch (nlohmann::json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace gooseberrycove::evidence
