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

/// Start-time fair queueing: each account's virtual time rises by the
/// slot-time it is given. The account that is furthest behind is served.
struct fair_shares
{
    std::unordered_map<std::string, duration> virtual_time;
    /// Start tag of the last entry served; returning accounts start here.
    duration virtual_now{0};
};

/// Work of one priority that waits. Small enough for linear scans.
struct priority_queue
{
    std::vector<work_request> entries;
    fair_shares shares;
};

/// Selects the entries that may be taken now.
using entry_predicate = std::function<bool(work_request const&)>;

void push(priority_queue& queue, work_request&& request);

/// Position of the eligible entry that is served next: the earliest deadline
/// among accounts that are at most \p slack of slot-time ahead of the one
/// furthest behind.
std::optional<std::size_t> select_next(priority_queue const& queue,
                                       entry_predicate const& may_take,
                                       duration slack);

/// Takes an entry out without serving it.
work_request remove_at(priority_queue& queue, std::size_t position);

/// Takes an entry out and charges its account with \p cost.
work_request serve_at(priority_queue& queue, std::size_t position,
                      duration cost);

/// Position of the entry with the latest deadline; the queue is not empty.
std::size_t latest_deadline(priority_queue const& queue);

} // namespace gooseberrycove::admission

#endif
