#ifndef GOOSEBERRYCOVE_ADMISSION_SHARE_CREDIT_HPP
#define GOOSEBERRYCOVE_ADMISSION_SHARE_CREDIT_HPP

#include <gooseberrycove/types.hpp>

#include <array>

namespace gooseberrycove::admission
{

/// Slot-time that each priority still has to get to reach its minimum share.
/// The credit rises while the priority has demand and falls with the slot-time
/// used. Use above the share is dropped except for the last request, so that a
/// priority that used idle slots still gets its share when a flood of other
/// work begins.
struct share_credit
{
    std::array<double, max_priorities> credit_us{};
    time_point updated_at;
};

/// Time over which a priority may catch up on missed slot-time.
inline constexpr duration credit_window = std::chrono::seconds(10);

/// Updates the credits to \p now.
/// \param entitled_slots  for each priority, the slots that its minimum share
///                        gives it while it has demand, otherwise 0
void advance_credits(share_credit& credits,
                     std::array<double, max_priorities> const& entitled_slots,
                     time_point now);

/// Charges the expected slot-time of a request that starts.
void charge_start(share_credit& credits, priority_index priority,
                  duration expected);

/// Replaces the charged slot-time of an ended request by the measured one.
void correct_charge(share_credit& credits, priority_index priority,
                    duration expected, duration measured);

} // namespace gooseberrycove::admission

#endif
