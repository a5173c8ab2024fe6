#include "queue.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

/// Maximum number of accounts whose virtual time is kept.
constexpr std::size_t max_accounts = 2 * max_priority_queue;

duration virtual_time_of(fair_shares const& shares, std::string const& account)
{
    auto const found = shares.virtual_time.find(account);
    return found == shares.virtual_time.end()
               ? shares.virtual_now
               : std::max(shares.virtual_now, found->second);
}

/// Drops the accounts that are not ahead of the virtual time of the queue; they
/// would start from it anyway. Drops all accounts when that is not enough: so
/// many accounts have one request each, and lead by no more than that.
void evict_accounts(fair_shares& shares)
{
    std::erase_if(shares.virtual_time, [&](auto const& item)
                  { return item.second <= shares.virtual_now; });
    if (shares.virtual_time.size() > max_accounts)
        shares.virtual_time.clear();
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
            i, virtual_time_of(queue.shares, queue.entries[i].account));
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

work_request serve_at(priority_queue& queue, std::size_t position,
                      duration cost)
{
    work_request entry = remove_at(queue, position);
    fair_shares& shares = queue.shares;
    duration const tag = virtual_time_of(shares, entry.account);
    // The account furthest behind sets the virtual time of the queue; the entry
    // may be ahead of it by the slack.
    duration min_time = tag;
    for (work_request const& other : queue.entries)
        min_time = std::min(min_time, virtual_time_of(shares, other.account));
    shares.virtual_now = std::max(shares.virtual_now, min_time);
    shares.virtual_time[entry.account] = tag + std::max(cost, duration(1));
    if (shares.virtual_time.size() > max_accounts)
        evict_accounts(shares);
    return entry;
}

std::size_t latest_deadline(priority_queue const& queue)
{
    auto const latest =
        std::max_element(queue.entries.begin(), queue.entries.end(),
                         [](work_request const& left, work_request const& right)
                         { return left.deadline < right.deadline; });
    return static_cast<std::size_t>(latest - queue.entries.begin());
}

} // namespace gooseberrycove::admission
