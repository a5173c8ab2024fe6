#include <gooseberrycove/header.hpp>

#include <strings.h>

#include <algorithm>
#include <array>

namespace gooseberrycove
{

namespace
{

/// RFC 9110, section 7.6.1, and what each hop sets by itself.
constexpr std::array<std::string_view, 11> connection_headers{
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

bool contains(std::span<std::string_view const> names, std::string_view name)
{
    return std::ranges::any_of(names, [&](std::string_view one)
                               { return is_same_header(one, name); });
}

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t");
    if (first == text.npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Names that the Connection headers of a message list.
std::vector<std::string_view>
names_of_connection(std::span<header_field const> headers)
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

std::vector<header_field>
forwarded_headers(std::span<header_field const> headers,
                  std::span<std::string_view const> own)
{
    std::vector<std::string_view> const listed = names_of_connection(headers);
    std::vector<header_field> result;
    for (header_field const& field : headers)
    {
        if (contains(connection_headers, field.name) ||
            contains(listed, field.name) || contains(own, field.name))
            continue;
        result.push_back(field);
    }
    return result;
}

} // namespace gooseberrycove
