#ifndef GOOSEBERRYCOVE_ADMISSION_QUEUE_BOUND_HPP
#define GOOSEBERRYCOVE_ADMISSION_QUEUE_BOUND_HPP

#include "state.hpp"

namespace gooseberrycove::admission
{

// Bounds how long work may queue at one home. This answers a load that nearly
// fills a service while a third of its servers fails: many daemons place work
// on loads that they learned a second ago, so that work queues at one home
// beside a sibling with a free slot.

/// Longest expected wait at which a home queues the request instead of leaving
/// it to the other homes that routing has. It grows with the body, which
/// crosses the network again for each further home. Without other homes or
/// without a target there is no bound.
duration max_queue_wait(service_policy const& policy,
                        work_request const& request);

} // namespace gooseberrycove::admission

#endif
