#ifndef GOOSEBERRYCOVE_LOAD_PLAN_HPP
#define GOOSEBERRYCOVE_LOAD_PLAN_HPP

#include "evidence/history.hpp"
#include "load/attempt_result.hpp"
#include "load/histogram.hpp"
#include "load/stream.hpp"
#include "load/transfer.hpp"

#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrycove::load
{

struct plan_options
{
    std::vector<std::string> targets;
    std::vector<stream> streams;
    duration run_length{0};
    std::uint64_t seed = 1;
    /// Further attempts with the same key when the outcome is unknown.
    std::size_t max_retries = 0;
    /// Whether work that could not be sent goes to the next target at once, as
    /// callers do when a daemon cannot be reached.
    bool reconnects = true;
};

/// Delay before work with an unknown outcome is sent again.
inline constexpr duration retry_delay{250'000};

/// Time after the deadline during which a response is still accepted.
inline constexpr duration response_grace{2'000'000};

/// Timeout of a request without a deadline.
inline constexpr duration no_deadline_timeout{30'000'000};

/// Results of one stream. Each work item counts once in ran, not_run or
/// unknown, by its last attempt; wrong counts attempts.
struct stream_totals
{
    std::uint64_t sent = 0;
    std::uint64_t ran = 0;
    std::uint64_t failed = 0;  ///< of ran: with status 500 or above
    std::uint64_t in_time = 0; ///< of ran: not failed, within the deadline
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retried = 0;
    std::uint64_t moved = 0; ///< attempts sent again to another target
    std::uint64_t wrong = 0;
    /// Latency from the planned arrival to the end of the last attempt. It
    /// includes the time before the work is sent, so that queueing caused by a
    /// slow fleet is not left out.
    histogram latency;
};

/// One arrival of a stream with all its attempts.
struct work_item
{
    std::size_t stream_index = 0;
    std::string idempotency_key;
    /// Ids of the attempts, oldest first.
    std::vector<std::string> request_ids;
    /// Attempts that a daemon may have received.
    std::size_t attempts_sent = 0;
    /// Consecutive targets that could not be reached.
    std::size_t unreached_targets = 0;
    time_point planned_arrival;
};

struct arrival_process
{
    std::mt19937_64 random;
    time_point next_arrival;
};

struct plan_state
{
    plan_options options;
    time_point end;
    std::vector<load::arrival_process> arrivals;
    std::vector<load::stream_totals> totals;
    /// Work that waits for the result of a transfer, by its ticket.
    std::unordered_map<std::uint64_t, work_item> open_work;
    /// Work to send again, by the time when it is due.
    std::multimap<time_point, work_item> pending_retries;
    std::uint64_t next_ticket = 1;
};

struct plan_actions
{
    std::vector<transfer> transfers;
    std::vector<evidence::record> records;
};

/// Starts all streams at \p now and draws the first arrival of each.
plan_state make_plan(plan_options const& options, time_point now);

/// Sends the arrivals and retries that are due at \p now.
void on_time(plan_state& state, time_point now, plan_actions& actions);

/// Records the end of a transfer; the work is counted or scheduled for a retry.
void on_result(plan_state& state, transfer_result const& result, time_point now,
               plan_actions& actions);

/// Time of the next arrival or retry; time_point::max() when there is none.
time_point next_send_time(plan_state const& state);

/// Whether no arrivals remain and every work item has ended.
bool is_finished(plan_state const& state);

} // namespace gooseberrycove::load

#endif
