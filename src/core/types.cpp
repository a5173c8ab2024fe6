#include <gooseberrycove/types.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>

namespace gooseberrycove
{

time_point clock_now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

std::string to_string(request_id id)
{
    return fmt::format("{:016x}{:016x}", id.high, id.low);
}

namespace
{

bool parse_half(std::string_view text, std::uint64_t& value)
{
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value, 16);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

} // namespace

std::optional<request_id> parse_request_id(std::string_view text)
{
    request_id id;
    if (text.size() != 32 || !parse_half(text.substr(0, 16), id.high) ||
        !parse_half(text.substr(16), id.low))
        return std::nullopt;
    return id;
}

std::uint64_t hash_name(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

} // namespace gooseberrycove
