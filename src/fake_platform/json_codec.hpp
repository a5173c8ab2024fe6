#ifndef GOOSEBERRYCOVE_FAKE_PLATFORM_JSON_CODEC_HPP
#define GOOSEBERRYCOVE_FAKE_PLATFORM_JSON_CODEC_HPP

#include "fake_platform/platform.hpp"

#include <string>
#include <string_view>

namespace gooseberrycove::fake_platform
{

/// An HTTP request reduced to what the platform reads.
struct http_call
{
    std::string method;
    /// Path without the query, still percent-encoded.
    std::string path;
    /// Value of a query parameter, decoded; empty when absent.
    std::map<std::string, std::string, std::less<>> query;
    std::string body;
};

struct http_response
{
    int status = 200;
    std::string body;
    /// Era of the store; 0 adds no header.
    std::uint64_t era = 0;
};

/// \param object_name  decoded name for a path that starts with /object/
/// \throws error of kind bad_request or no_route
store::operation parse_operation(http_call const& call,
                                 std::string_view object_name);

http_response render_reply(store::operation const& operation,
                           store::reply const& reply);

/// Replaces the faults that the body names. \throws error(bad_request)
void parse_faults(std::string_view body, faults& active);

/// Age of the copy from which POST /faults restores the store, or 0.
duration parse_copy_age(std::string_view body);

std::string render_faults(faults const& active);
std::string render_counters(state const& platform);

/// Problem document for refusals.
http_response render_problem(int status, std::string_view detail);

} // namespace gooseberrycove::fake_platform

#endif
