#ifndef GOOSEBERRYCOVE_DISPATCH_DISPATCH_THREAD_HPP
#define GOOSEBERRYCOVE_DISPATCH_DISPATCH_THREAD_HPP

#include "transfer.hpp"
#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/dispatch.hpp>
#include <gooseberrycove/health.hpp>

namespace gooseberrycove::dispatch
{

/// Where the duty's results go.
struct wiring
{
    admission::inbox* admission = nullptr;
    health::inbox* health = nullptr;
    server_dialect dialect;
};

/// Runs until \p requests is closed; finishes transfers in flight first.
void run(inbox& requests, wiring const& out);

} // namespace gooseberrycove::dispatch

#endif
