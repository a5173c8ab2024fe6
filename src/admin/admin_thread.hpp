#ifndef GOOSEBERRYCOVE_ADMIN_THREAD_HPP
#define GOOSEBERRYCOVE_ADMIN_THREAD_HPP

#include <gooseberrycove/config.hpp>
#include <gooseberrycove/http.hpp>
#include <gooseberrycove/key_set.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/routing.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace gooseberrycove::admin
{

/// Reply of another duty to a request of an operator or backend server.
struct reply
{
    /// Number of the request at the admin thread.
    std::uint64_t request = 0;
    /// Called on the admin thread.
    std::function<http::response()> make_response;
};

using inbox = ring<reply>;

struct wiring
{
    /// `ip:port` for operators and backend servers.
    std::string address;
    /// Further addresses with the same endpoints.
    std::vector<std::string> additional_addresses;
    std::string daemon_name;
    key_set* admin_keys = nullptr;
    key_set* announce_keys = nullptr;
    metrics* counts = nullptr;
    members::inbox* members = nullptr;
    config::inbox* config = nullptr;
    routing::inbox* routing = nullptr;
    std::atomic<bool>* is_ready = nullptr;
    std::atomic<bool>* is_draining = nullptr;
};

/// Runs until \p messages is closed.
/// \throws error of kind internal when the address cannot be bound
void run(inbox& messages, wiring const& setup);

} // namespace gooseberrycove::admin

#endif
