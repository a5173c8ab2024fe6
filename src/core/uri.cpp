#include <gooseberrycove/uri.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::uri
{

namespace
{

int hex_value(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::string percent_decode(std::string_view text, char plus)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        bool const is_escape = text[i] == '%' && i + 2 < text.size() &&
                               hex_value(text[i + 1]) >= 0 &&
                               hex_value(text[i + 2]) >= 0;
        if (!is_escape)
        {
            out += text[i] == '+' ? plus : text[i];
            continue;
        }
        out += static_cast<char>(hex_value(text[i + 1]) * 16 +
                                 hex_value(text[i + 2]));
        i += 2;
    }
    return out;
}

} // namespace

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string query_value(std::string_view target, std::string_view name)
{
    auto const query_mark = target.find('?');
    if (query_mark == target.npos)
        return {};
    std::string_view rest = target.substr(query_mark + 1);
    while (!rest.empty())
    {
        auto const end = std::min(rest.find('&'), rest.size());
        std::string_view const pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        auto const equals_sign = pair.find('=');
        if (equals_sign != pair.npos && pair.substr(0, equals_sign) == name)
            return percent_decode(pair.substr(equals_sign + 1), ' ');
    }
    return {};
}

std::string decode_segment(std::string_view segment)
{
    return percent_decode(segment, '+');
}

std::string percent_encode(std::string_view text)
{
    std::string result;
    for (unsigned char c : text)
    {
        bool const is_unreserved = (c >= 'a' && c <= 'z') ||
                                   (c >= 'A' && c <= 'Z') ||
                                   (c >= '0' && c <= '9') || c == '-' ||
                                   c == '_' || c == '.' || c == '~';
        if (is_unreserved)
            result += static_cast<char>(c);
        else
            result += fmt::format("%{:02X}", c);
    }
    return result;
}

} // namespace gooseberrycove::uri
