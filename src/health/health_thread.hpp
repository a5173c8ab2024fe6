#ifndef GOOSEBERRYCOVE_HEALTH_HEALTH_THREAD_HPP
#define GOOSEBERRYCOVE_HEALTH_HEALTH_THREAD_HPP

#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/dispatch.hpp>
#include <gooseberrycove/health.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/metrics.hpp>

namespace gooseberrycove::health
{

/// Rings of the duties that health sends to. They must outlive the thread.
struct wiring
{
    members::inbox* members = nullptr;
    admission::inbox* admission = nullptr;
    dispatch::inbox* dispatch = nullptr;
    /// May be null.
    metrics* counts = nullptr;
};

/// Runs until \p messages is closed and empty.
void run(inbox& messages, wiring const& rings);

} // namespace gooseberrycove::health

#endif
