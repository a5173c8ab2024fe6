#ifndef GOOSEBERRYCOVE_DISPATCH_DISPATCH_THREAD_HPP
#define GOOSEBERRYCOVE_DISPATCH_DISPATCH_THREAD_HPP

#include "transfer.hpp"
#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/dispatch.hpp>
#include <gooseberrycove/health.hpp>
#include <gooseberrycove/metrics.hpp>

namespace gooseberrycove::dispatch
{

/// Rings that receive results, and the HTTP options of the servers.
struct wiring
{
    admission::inbox* admission = nullptr;
    health::inbox* health = nullptr;
    server_http_options options;
    /// Null in tests that read no metrics.
    metrics* counts = nullptr;
};

/// Runs until \p requests is closed and all transfers have ended. Transfers
/// that do not end soon after that are abandoned.
void run(inbox& requests, wiring const& setup);

} // namespace gooseberrycove::dispatch

#endif
