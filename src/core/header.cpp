#include <gooseberrycove/header.hpp>

#include <strings.h>

#include <algorithm>
#include <array>

namespace gooseberrycove
{

namespace
{

/// Hop-by-hop headers of RFC 9110, section 7.6.1, and headers that each hop
/// sets itself.
constexpr std::array<std::string_view, 11> hop_by_hop_headers{
    "Connection",
    "Content-Length",
    "Expect",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade"};

bool contains_header(std::span<std::string_view const> names,
                     std::string_view name)
{
    return std::ranges::any_of(names, [&](std::string_view candidate)
                               { return is_same_header(candidate, name); });
}

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t");
    if (first == text.npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Names listed in the Connection headers of a message.
std::vector<std::string_view>
connection_options(std::span<header_field const> headers)
{
    std::vector<std::string_view> names;
    for (header_field const& field : headers)
    {
        if (!is_same_header(field.name, "Connection"))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty())
        {
            std::string_view const item = rest.substr(0, rest.find(','));
            rest.remove_prefix(std::min(rest.size(), item.size() + 1));
            if (!trim(item).empty())
                names.push_back(trim(item));
        }
    }
    return names;
}

} // namespace

bool is_same_header(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool is_header_text(std::string_view text)
{
    constexpr unsigned char del = 0x7f;
    bool const has_control = std::ranges::any_of(
        text, [](unsigned char c) { return c < ' ' || c == del; });
    return !has_control && !text.starts_with(' ') && !text.ends_with(' ');
}

std::vector<header_field>
forwarded_headers(std::span<header_field const> headers,
                  std::span<std::string_view const> excluded)
{
    std::vector<std::string_view> const options = connection_options(headers);
    std::vector<header_field> result;
    for (header_field const& field : headers)
    {
        if (contains_header(hop_by_hop_headers, field.name) ||
            contains_header(options, field.name) ||
            contains_header(excluded, field.name))
            continue;
        result.push_back(field);
    }
    return result;
}

} // namespace gooseberrycove
