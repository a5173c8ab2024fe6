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

/// Largest body of a caller's request in bytes when the settings do not say.
inline constexpr std::size_t default_max_body = std::size_t{1024} * 1024;

/// What the caller of request \p id gets.
struct caller_response
{
    request_id id;
    int status = 500;
    std::string content_type;
    /// Further headers of the backend server's answer.
    std::vector<header_field> headers;
    std::string body;
    outcome run_outcome = outcome::unknown;
    int retry_after_s = 0;
};

/// Each further answer ends its connection. Requests are still taken and
/// passed on: callers need a moment to turn to other daemons.
struct drain
{
};

/// Stops accepting connections; new requests on open ones are refused as not
/// run.
struct stop_accepting
{
};

/// Messages that the front duty takes.
using message =
    std::variant<std::monostate, caller_response, drain, stop_accepting>;
using inbox = ring<message>;

} // namespace gooseberrycove::front

#endif
