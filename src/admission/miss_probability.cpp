#include "miss_probability.hpp"

#include "schedule.hpp"

#include <algorithm>
#include <numeric>

namespace gooseberrycove::admission
{

namespace
{

constexpr double p99_sigmas = 2.33;

} // namespace

duration target_slack(service_state const& service, duration waited)
{
    priority_index const urgent = urgent_priority(service.policy);
    return service.policy.priorities[urgent].target - waited -
           quantile_time(service.priorities[urgent].estimate, p99_sigmas);
}

double slot_miss_probability(service_state const& service,
                             std::span<active_run const> active,
                             std::size_t ahead, duration slack, time_point now)
{
    if (slack.count() <= 0)
        return 1;
    // ended[k] is the probability that k of the runs handled so far end in
    // time; the last element is the probability of more than `ahead`.
    std::vector<double> ended(ahead + 2, 0.0);
    ended[0] = 1;
    for (active_run const& run : active)
    {
        double const still_running =
            survival_probability(service.priorities[run.priority].estimate,
                                 now - run.started, slack);
        ended[ahead + 1] += ended[ahead] * (1 - still_running);
        for (std::size_t k = ahead; k > 0; --k)
            ended[k] =
                ended[k] * still_running + ended[k - 1] * (1 - still_running);
        ended[0] *= still_running;
    }
    return 1 - ended[ahead + 1];
}

double target_miss_probability(service_state const& service,
                               homed_server_state const& server, time_point now)
{
    priority_index const urgent = urgent_priority(service.policy);
    auto const& queued = service.priorities[urgent].queue.entries;
    std::size_t const ahead = static_cast<std::size_t>(
        std::ranges::count_if(queued, [&](work_request const& entry)
                              { return entry.server == server.name; }));
    if (server.in_flight + ahead < slots_of(server, service.policy, now))
        return 0;
    return slot_miss_probability(service, server.active, ahead,
                                 target_slack(service, duration(0)), now);
}

} // namespace gooseberrycove::admission
