#include "share_credit.hpp"

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

void advance_credits(share_credit& credits,
                     std::array<double, max_priorities> const& entitled_slots,
                     time_point now)
{
    if (credits.updated_at == time_point{})
        credits.updated_at = now;
    double const elapsed_us = to_us(now - credits.updated_at);
    credits.updated_at = now;
    for (std::size_t i = 0; i < max_priorities; ++i)
    {
        double const limit_us = entitled_slots[i] * to_us(credit_window);
        double const raised_us =
            credits.credit_us[i] + entitled_slots[i] * elapsed_us;
        // Without demand the limit is 0, which drops earlier credit.
        credits.credit_us[i] = std::min(raised_us, limit_us);
    }
}

void charge_start(share_credit& credits, priority_index priority,
                  duration expected)
{
    double& credit = credits.credit_us[priority];
    credit = std::max(credit - to_us(expected), -to_us(expected));
}

void correct_charge(share_credit& credits, priority_index priority,
                    duration expected, duration measured)
{
    credits.credit_us[priority] += to_us(expected) - to_us(measured);
}

} // namespace gooseberrycove::admission
