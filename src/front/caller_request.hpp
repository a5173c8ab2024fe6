#ifndef GOOSEBERRYCOVE_FRONT_CALLER_REQUEST_HPP
#define GOOSEBERRYCOVE_FRONT_CALLER_REQUEST_HPP

#include <gooseberrycove/front.hpp>
#include <gooseberrycove/http.hpp>
#include <gooseberrycove/routing.hpp>

#include <random>

namespace gooseberrycove::front
{

/// How callers' requests are read.
struct reading
{
    header_names names;
    /// Largest body in bytes.
    std::size_t max_body = default_max_body;
};

/// Reads the headers of a caller's request.
/// \param generator  source of the fleet's own request id
/// \throws error of kind bad_request or too_large
routing::caller_request read_request(http::exchange const& from,
                                     reading const& how,
                                     std::mt19937_64& generator,
                                     time_point now);

/// The answer as HTTP, with X-Outcome, the caller's id and Retry-After.
http::response to_response(caller_response const& what,
                           std::string_view caller_id,
                           header_names const& names);

/// The answer to a request that was refused before routing saw it.
caller_response refusal(std::string_view caller_id, error_kind kind,
                        std::string_view detail);

} // namespace gooseberrycove::front

#endif
