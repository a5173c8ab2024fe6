#include "siblings.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

/// Statuses are sent once a second; one may be lost.
constexpr duration max_load_age = std::chrono::seconds(2);

std::uint32_t count_free_slots(members::candidate const& candidate)
{
    std::uint32_t const busy = candidate.in_flight + candidate.queued;
    return candidate.slots > busy ? candidate.slots - busy : 0;
}

} // namespace

std::vector<sibling_load> find_spare_siblings(members::service_view const& view,
                                              daemon_ref own_daemon,
                                              std::size_t count, time_point now)
{
    std::vector<members::candidate const*> spare;
    for (members::candidate const& candidate : view.candidates)
    {
        if (candidate.home == own_daemon || !candidate.is_home_alive ||
            candidate.state != members::server_state::serving ||
            candidate.health != health_state::healthy ||
            count_free_slots(candidate) == 0 || !candidate.load_at ||
            now - *candidate.load_at > max_load_age)
            continue;
        spare.push_back(&candidate);
    }
    std::size_t const kept = std::min(count, spare.size());
    std::ranges::partial_sort(spare,
                              spare.begin() + static_cast<std::ptrdiff_t>(kept),
                              std::ranges::greater{},
                              [](members::candidate const* candidate)
                              { return count_free_slots(*candidate); });
    std::vector<sibling_load> found;
    for (std::size_t i = 0; i < kept; ++i)
        found.push_back({spare[i]->server, spare[i]->home, spare[i]->in_flight,
                         spare[i]->queued,
                         std::max(duration(0), now - *spare[i]->load_at)});
    return found;
}

} // namespace gooseberrycove::admission
