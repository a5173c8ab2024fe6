#ifndef GOOSEBERRYCOVE_HEALTH_HEALTH_THREAD_HPP
#define GOOSEBERRYCOVE_HEALTH_HEALTH_THREAD_HPP

#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/dispatch.hpp>
#include <gooseberrycove/health.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/metrics.hpp>

namespace gooseberrycove::health
{

/// The duties that health talks to. The rings outlive the thread.
struct wiring
{
    members::inbox* members = nullptr;
    admission::inbox* admission = nullptr;
    dispatch::inbox* dispatch = nullptr;
    /// May be null.
    metrics* counts = nullptr;
};

/// Runs until \p messages is closed and empty.
void run(inbox& messages, wiring const& to);

} // namespace gooseberrycove::health

#endif
