#ifndef GOOSEBERRYCOVE_FRONT_CALLER_REQUEST_HPP
#define GOOSEBERRYCOVE_FRONT_CALLER_REQUEST_HPP

#include <gooseberrycove/front.hpp>
#include <gooseberrycove/http.hpp>
#include <gooseberrycove/routing.hpp>

#include <random>

namespace gooseberrycove::front
{

/// Options for reading callers' requests.
struct request_options
{
    header_names names;
    /// Maximum size of a request body.
    std::size_t max_body_bytes = default_max_body;
};

/// Reads a caller's request and takes the body from the exchange.
/// \param generator  source of the fleet's own request id
/// \throws error of kind bad_request, too_large or overloaded
routing::caller_request read_request(http::exchange& exchange,
                                     request_options const& options,
                                     std::mt19937_64& generator,
                                     time_point now);

/// Encodes a response to a caller as HTTP, with the headers for the caller's
/// request id, X-Outcome and Retry-After.
http::response to_response(caller_response const& response,
                           std::string_view caller_id,
                           header_names const& names);

/// Response to a request that is refused before it is passed to routing.
caller_response make_refusal(std::string_view caller_id, error_kind kind,
                             std::string_view detail);

} // namespace gooseberrycove::front

#endif
