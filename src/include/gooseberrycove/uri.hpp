#ifndef GOOSEBERRYCOVE_URI_HPP
#define GOOSEBERRYCOVE_URI_HPP

#include <string>
#include <string_view>

namespace gooseberrycove::uri
{

/// Part of a request target before the query.
std::string_view path_of(std::string_view target);

/// Decoded value of a query parameter; empty when absent.
std::string query_value(std::string_view target, std::string_view name);

/// Decoded segment of a path, in which a plus sign stands for itself.
std::string decode_segment(std::string_view segment);

/// Percent-encodes all characters except the unreserved ones of RFC 3986.
std::string percent_encode(std::string_view text);

} // namespace gooseberrycove::uri

#endif
