#include "load/stream.hpp"

#include <gooseberrycove/settings.hpp>

#include <fmt/format.h>

#include <charconv>
#include <sstream>

namespace gooseberrycove::load
{

namespace
{

[[noreturn]] void throw_invalid(std::string_view part, std::string_view allowed)
{
    throw settings_error(fmt::format("load.streams: '{}' is not allowed, "
                                     "allowed: {}",
                                     part, allowed));
}

double parse_real(std::string_view part, std::string_view text, double min,
                  double max, std::string_view field)
{
    double value = 0;
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < min ||
        value > max)
        throw_invalid(part, fmt::format("{} from {} to {}", field, min, max));
    return value;
}

std::vector<std::string> split(std::string const& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);)
        parts.push_back(part);
    return parts;
}

stream parse_stream(std::string const& part)
{
    auto const fields = split(part, ':');
    if (fields.size() != 6)
        throw_invalid(part, "name:rate:METHOD:/path:repeatable:deadline_ms");
    stream result;
    result.name = fields[0];
    result.rate = parse_real(part, fields[1], 0.001, 100'000, "rate");
    result.method = fields[2];
    result.path = fields[3];
    if (result.name.empty() || result.method.empty())
        throw_invalid(part, "a name and a method");
    if (result.path.empty() || result.path.front() != '/')
        throw_invalid(part, "a path that starts with /");
    if (fields[4] != "true" && fields[4] != "false")
        throw_invalid(part, "repeatable true or false");
    result.repeatable = fields[4] == "true";
    result.deadline = duration(static_cast<std::int64_t>(
        1000 * parse_real(part, fields[5], 0, 3'600'000, "deadline_ms")));
    return result;
}

} // namespace

std::vector<stream> parse_streams(std::string_view text)
{
    std::vector<stream> result;
    std::istringstream in{std::string(text)};
    for (std::string part; in >> part;)
        result.push_back(parse_stream(part));
    if (result.empty())
        throw_invalid(text, "at least one stream");
    return result;
}

} // namespace gooseberrycove::load
