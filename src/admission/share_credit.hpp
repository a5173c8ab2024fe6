#ifndef GOOSEBERRYCOVE_ADMISSION_SHARE_CREDIT_HPP
#define GOOSEBERRYCOVE_ADMISSION_SHARE_CREDIT_HPP

#include <gooseberrycove/types.hpp>

#include <array>

namespace gooseberrycove::admission
{

/// Slot-time that each priority still has to get to reach its minimum share:
/// it rises while the priority has demand and falls with the slot-time given.
/// What a priority was given above its share is forgotten but for the last
/// piece of work, so that using idle slots does not cost it its share when a
/// flood begins.
struct share_credit
{
    std::array<double, max_priorities> credit_us{};
    time_point updated_at;
};

/// Time over which a priority may make up for missed slot-time.
inline constexpr duration credit_window = std::chrono::seconds(10);

/// Moves the credits to \p now.
/// \param entitled_slots  for each priority, the slots that its minimum share
///                        gives it while it has demand, otherwise 0
void advance(share_credit& shares,
             std::array<double, max_priorities> const& entitled_slots,
             time_point now);

/// Takes the expected slot-time of work that starts.
void charge_start(share_credit& shares, priority_index priority,
                  duration expected);

/// Corrects the expected slot-time to the measured one.
void correct_charge(share_credit& shares, priority_index priority,
                    duration expected, duration measured);

} // namespace gooseberrycove::admission

#endif
