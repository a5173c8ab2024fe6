#ifndef GOOSEBERRYCOVE_FRONT_THREAD_HPP
#define GOOSEBERRYCOVE_FRONT_THREAD_HPP

#include "caller_request.hpp"
#include <gooseberrycove/front.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/routing.hpp>

#include <atomic>
#include <string>

namespace gooseberrycove::front
{

struct wiring
{
    /// `ip:port` that callers connect to.
    std::string address;
    request_options requests;
    metrics* counts = nullptr;
    routing::inbox* routing = nullptr;
    /// Requests in flight. The main thread waits for zero during a drain.
    std::atomic<std::size_t>* in_flight = nullptr;
};

/// Runs until \p messages is closed.
/// \throws error of kind internal when the address cannot be bound
void run(inbox& messages, wiring const& setup);

} // namespace gooseberrycove::front

#endif
