#ifndef GOOSEBERRYCOVE_FRONT_CALLER_REQUEST_HPP
#define GOOSEBERRYCOVE_FRONT_CALLER_REQUEST_HPP

#include <gooseberrycove/front.hpp>
#include <gooseberrycove/http.hpp>
#include <gooseberrycove/routing.hpp>

#include <random>

namespace gooseberrycove::front
{

/// Reads the headers of a caller's request.
/// \param generator  source of the request id when the caller sent none
/// \throws error of kind bad_request or too_large
routing::caller_request read_request(http::exchange const& from,
                                     std::mt19937_64& generator,
                                     time_point now);

/// The answer as HTTP, with X-Outcome, X-Request-Id and Retry-After.
http::response to_response(answer const& what);

/// The answer to a request that was refused before routing saw it.
answer refusal(request_id id, error_kind kind, std::string_view detail);

} // namespace gooseberrycove::front

#endif
