#ifndef GOOSEBERRYCOVE_FRONT_HPP
#define GOOSEBERRYCOVE_FRONT_HPP

#include <gooseberrycove/error.hpp>
#include <gooseberrycove/header.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/types.hpp>

#include <string>
#include <variant>

namespace gooseberrycove::front
{

/// Default limit of the body of a caller's request, in bytes.
inline constexpr std::size_t default_max_body = std::size_t{1024} * 1024;

/// Response to the caller of request \p id.
struct caller_response
{
    request_id id;
    int status = 500;
    std::string content_type;
    /// Other headers of the backend server's response.
    std::vector<header_field> headers;
    std::string body;
    outcome run_outcome = outcome::unknown;
    /// Value of the Retry-After header; zero omits it.
    duration retry_after{0};
};

/// Closes each connection after its next response. Requests are still accepted
/// and forwarded, because callers need time to switch to other daemons.
struct drain
{
};

/// Stops accepting connections. New requests on open connections are refused
/// as not run.
struct stop_accepting
{
};

/// Responds to all requests that still have no response as outcome unknown, at
/// the end of a shutdown. Ready responses that wait for them are delivered
/// behind theirs.
struct give_up
{
};

/// Messages that the front duty handles.
using message = std::variant<std::monostate, caller_response, drain,
                             stop_accepting, give_up>;
using inbox = ring<message>;

} // namespace gooseberrycove::front

#endif
