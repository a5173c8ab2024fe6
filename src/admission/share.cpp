#include "share.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

double to_us(duration time)
{
    return static_cast<double>(time.count());
}

} // namespace

void advance(share_credit& shares,
             std::array<double, max_priorities> const& entitled_slots,
             time_point now)
{
    if (shares.advanced == time_point{})
        shares.advanced = now;
    double const passed = to_us(now - shares.advanced);
    shares.advanced = now;
    for (std::size_t i = 0; i < max_priorities; ++i)
    {
        double const limit = entitled_slots[i] * to_us(credit_window);
        double const raised = shares.credit_us[i] + entitled_slots[i] * passed;
        // Without demand the limit is 0 and a claim from the past is dropped.
        shares.credit_us[i] = std::min(raised, limit);
    }
}

void charge_start(share_credit& shares, priority_index priority,
                  duration expected)
{
    double& credit = shares.credit_us[priority];
    credit = std::max(credit - to_us(expected), -to_us(expected));
}

void charge_end(share_credit& shares, priority_index priority,
                duration expected, duration measured)
{
    shares.credit_us[priority] += to_us(expected) - to_us(measured);
}

} // namespace gooseberrycove::admission
