#ifndef GOOSEBERRYCOVE_ADMIN_THREAD_HPP
#define GOOSEBERRYCOVE_ADMIN_THREAD_HPP

#include <gooseberrycove/config.hpp>
#include <gooseberrycove/key_set.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/routing.hpp>

#include <atomic>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrycove::admin
{

/// The admin duty receives no messages; closing the ring stops it.
using inbox = ring<std::monostate>;

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
