#include "queue.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

/// Maximum number of accounts whose virtual time is kept.
constexpr std::size_t max_accounts = 2 * max_priority_queue;

duration virtual_time_of(virtual_clock const& clock, std::string const& account)
{
    auto const found = clock.virtual_time.find(account);
    return found == clock.virtual_time.end()
               ? clock.virtual_now
               : std::max(clock.virtual_now, found->second);
}

/// Drops the accounts that are not ahead of the virtual time of the queue; they
/// would start from it anyway. Drops all accounts when that is not enough: with
/// so many accounts, each has one request and is ahead by at most its cost.
void evict_accounts(virtual_clock& clock)
{
    std::erase_if(clock.virtual_time, [&](auto const& item)
                  { return item.second <= clock.virtual_now; });
    if (clock.virtual_time.size() > max_accounts)
        clock.virtual_time.clear();
}

} // namespace

void push(priority_queue& queue, work_request&& request)
{
    queue.entries.push_back(std::move(request));
}

std::optional<std::size_t> select_next(priority_queue const& queue,
                                       entry_predicate const& is_eligible,
                                       duration slack)
{
    std::vector<std::pair<std::size_t, duration>> candidates;
    duration min_time = duration::max();
    for (std::size_t i = 0; i < queue.entries.size(); ++i)
    {
        if (!is_eligible(queue.entries[i]))
            continue;
        candidates.emplace_back(
            i, virtual_time_of(queue.clock, queue.entries[i].account));
        min_time = std::min(min_time, candidates.back().second);
    }
    std::optional<std::size_t> best;
    for (auto const& [position, tag] : candidates)
    {
        if (tag > min_time + slack)
            continue;
        if (!best ||
            queue.entries[position].deadline < queue.entries[*best].deadline)
            best = position;
    }
    return best;
}

work_request remove_at(priority_queue& queue, std::size_t position)
{
    work_request entry = std::move(queue.entries[position]);
    if (position + 1 != queue.entries.size())
        queue.entries[position] = std::move(queue.entries.back());
    queue.entries.pop_back();
    return entry;
}

work_request remove_and_charge(priority_queue& queue, std::size_t position,
                               duration cost)
{
    work_request entry = remove_at(queue, position);
    virtual_clock& clock = queue.clock;
    duration const tag = virtual_time_of(clock, entry.account);
    // The account furthest behind sets the virtual time of the queue; the entry
    // may be ahead of it by the slack.
    duration min_time = tag;
    for (work_request const& other : queue.entries)
        min_time = std::min(min_time, virtual_time_of(clock, other.account));
    clock.virtual_now = std::max(clock.virtual_now, min_time);
    clock.virtual_time[entry.account] = tag + std::max(cost, duration(1));
    if (clock.virtual_time.size() > max_accounts)
        evict_accounts(clock);
    return entry;
}

std::size_t find_latest_deadline(priority_queue const& queue)
{
    auto const latest =
        std::max_element(queue.entries.begin(), queue.entries.end(),
                         [](work_request const& left, work_request const& right)
                         { return left.deadline < right.deadline; });
    return static_cast<std::size_t>(latest - queue.entries.begin());
}

} // namespace gooseberrycove::admission
