#ifndef GOOSEBERRYCOVE_FRONT_HPP
#define GOOSEBERRYCOVE_FRONT_HPP

#include <gooseberrycove/error.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/types.hpp>

#include <string>
#include <variant>

namespace gooseberrycove::front
{

/// Largest body of a caller's request in bytes.
inline constexpr std::size_t max_body = std::size_t{1024} * 1024;

/// What the caller of request \p id gets.
struct answer
{
    request_id id;
    int status = 500;
    std::string content_type;
    std::string body;
    outcome result = outcome::unknown;
    int retry_after_s = 0;
};

/// Stops accepting connections; new requests on open ones are refused as not
/// run, requests in flight are finished.
struct drain
{
};

/// Messages that the front duty takes.
using message = std::variant<std::monostate, answer, drain>;
using inbox = ring<message>;

} // namespace gooseberrycove::front

#endif
