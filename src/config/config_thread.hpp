#ifndef GOOSEBERRYCOVE_CONFIG_CONFIG_THREAD_HPP
#define GOOSEBERRYCOVE_CONFIG_CONFIG_THREAD_HPP

#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/claims.hpp>
#include <gooseberrycove/config.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/routing.hpp>
#include <gooseberrycove/store.hpp>

#include <atomic>
#include <string>

namespace gooseberrycove::config
{

/// Rings of the duties to which this one sends, and its settings.
struct wiring
{
    routing::inbox& routing;
    admission::inbox& admission;
    members::inbox& members;
    peer::inbox& peer;
    store::inbox& store;
    claims::inbox& claims;
    /// Own peer address, `ip:port`.
    std::string own_address;
    /// The operator writes whole documents into the store.
    bool follows_document = false;
    /// Set once this daemon holds a configuration with which it may serve.
    std::atomic<bool>& ready;
    /// May be null.
    metrics* counters = nullptr;
};

/// Runs until the ring is closed.
void run(inbox& messages, wiring const& wires);

} // namespace gooseberrycove::config

#endif
