#ifndef GOOSEBERRYCOVE_FRONT_PIPELINE_HPP
#define GOOSEBERRYCOVE_FRONT_PIPELINE_HPP

#include <gooseberrycove/http.hpp>
#include <gooseberrycove/types.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrycove::front
{

/// A request that was read and whose response has not been delivered.
struct pipelined_request
{
    request_id id;
    std::string caller_id;
    http::exchange_ptr exchange;
    /// Ready response that waits for those before it.
    std::optional<http::response> reply;
};

/// Requests of one connection of a caller. HTTP/1.1 demands responses in the
/// order of the requests.
struct pipeline
{
    /// In the order in which they were read.
    std::deque<pipelined_request> requests;
    /// Responses that were handed to the socket and are not written yet.
    std::size_t unwritten = 0;
    /// The last response has been delivered, and it closes the connection. What
    /// the caller sends now counts as not read, so it must not be passed on.
    bool is_closing = false;
};

/// A response to hand to the socket.
struct delivery
{
    http::exchange_ptr exchange;
    http::response reply;
};

/// Requests of the connection that are not completely answered.
std::size_t count_unanswered(pipeline const& state);

/// The request of the connection with this id, or null.
pipelined_request* find_request(pipeline& state, request_id id);

/// Adds a request that has been read. Returns false when the connection is
/// closing and the request must be ignored.
bool add_request(pipeline& state, pipelined_request&& request);

/// Stores the response of \p request, one of \p state, and appends to \p out
/// those that are due. In a shutdown the response of the last request that was
/// read closes the connection: an earlier close would discard the responses
/// behind it.
void add_response(pipeline& state, pipelined_request& request,
                  http::response&& reply, bool is_draining,
                  std::vector<delivery>& out);

} // namespace gooseberrycove::front

#endif
