#include "queue_bound.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

/// A request without a body may wait for this share of its target; each KiB of
/// body adds as much. A further home costs about 1 ms.
constexpr double share_per_kib = 0.125;
/// Beyond this share a sibling's free slot is worth any body.
constexpr double max_share = 0.5;

} // namespace

duration max_queue_wait(service_policy const& policy,
                        work_request const& request)
{
    duration const target = policy.priorities[request.priority].target;
    if (target.count() == 0 || !request.has_other_homes)
        return duration::max();
    double const kib = static_cast<double>(request.body.size()) / 1024;
    double const share = std::min(max_share, share_per_kib * (1 + kib));
    return duration(static_cast<duration::rep>(
        share * static_cast<double>(target.count())));
}

} // namespace gooseberrycove::admission
