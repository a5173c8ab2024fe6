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
    /// `ip:port` for callers.
    std::string address;
    reading requests;
    metrics* counts = nullptr;
    routing::inbox* routing = nullptr;
    /// Requests in flight, read by the main thread while it drains.
    std::atomic<std::size_t>* in_flight = nullptr;
};

/// Runs until \p messages is closed.
/// \throws error of kind internal when the address cannot be bound
void run(inbox& messages, wiring const& to);

} // namespace gooseberrycove::front

#endif
