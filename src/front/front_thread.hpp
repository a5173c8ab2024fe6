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
    /// Requests whose response is not written yet. The main thread waits for
    /// zero during a drain.
    std::atomic<std::size_t>* in_flight = nullptr;
    /// Largest number of requests without a response.
    std::size_t max_in_flight = gooseberrycove::max_in_flight;
    /// Largest number of requests of one connection that are read and have no
    /// complete response.
    std::size_t max_pipelined = http::default_max_pipelined;
    /// Limit of memory for all request bodies; 0 for none.
    std::size_t max_all_bodies = 0;
    /// Callers' connections at which accepting pauses; 0 for no limit.
    std::size_t max_connections = 0;
};

/// Runs until \p messages is closed.
/// \throws error of kind internal when the address cannot be bound
void run(inbox& messages, wiring const& setup);

} // namespace gooseberrycove::front

#endif
