#ifndef GOOSEBERRYCOVE_ADMISSION_QUEUE_HPP
#define GOOSEBERRYCOVE_ADMISSION_QUEUE_HPP

#include <gooseberrycove/work.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberrycove::admission
{

/// Entries that one priority of one service may hold.
inline constexpr std::size_t max_priority_queue = 256;
/// Entries that all priorities of one service may hold.
inline constexpr std::size_t max_service_queue = 1024;

/// Start-time fair queueing: a request that is served raises its account's
/// virtual time by the slot-time it is charged. The account with the lowest
/// virtual time is served next, within a slack.
struct virtual_clock
{
    std::unordered_map<std::string, duration> virtual_time;
    /// Virtual time of the queue; an account that returns starts from it.
    duration virtual_now{0};
};

/// Queued requests of one priority. Small enough for linear scans.
struct priority_queue
{
    std::vector<work_request> entries;
    virtual_clock clock;
};

/// Selects queued requests.
using entry_predicate = std::function<bool(work_request const&)>;

void push(priority_queue& queue, work_request&& request);

/// Position of the eligible entry that is served next: the one with the
/// earliest deadline among the accounts whose virtual time is at most \p slack
/// above the lowest.
std::optional<std::size_t> select_next(priority_queue const& queue,
                                       entry_predicate const& is_eligible,
                                       duration slack);

/// Removes an entry without charging its account.
work_request remove_at(priority_queue& queue, std::size_t position);

/// Removes an entry and charges its account with \p cost.
work_request remove_and_charge(priority_queue& queue, std::size_t position,
                               duration cost);

/// Position of the entry with the latest deadline; the queue is not empty.
std::size_t find_latest_deadline(priority_queue const& queue);

} // namespace gooseberrycove::admission

#endif
