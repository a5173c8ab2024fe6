#ifndef GOOSEBERRYCOVE_LOAD_PLAN_HPP
#define GOOSEBERRYCOVE_LOAD_PLAN_HPP

#include "evidence/history.hpp"
#include "load/histogram.hpp"
#include "load/stream.hpp"
#include "load/transfer.hpp"
#include "load/verdict.hpp"

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
    duration length{0};
    std::uint64_t seed = 1;
    /// Further attempts with the same key when the outcome is unknown.
    std::size_t retries = 0;
};

/// Pause before an attempt is repeated.
inline constexpr duration retry_pause{250'000};

/// Time beyond the deadline in which a response is still awaited.
inline constexpr duration response_grace{2'000'000};

/// Time in which a response to a request without a deadline is awaited.
inline constexpr duration no_deadline_timeout{30'000'000};

/// Results of one stream. Each piece of work counts once in ran, not_run or
/// unknown, by its last attempt; wrong counts attempts.
struct totals
{
    std::uint64_t sent = 0;
    std::uint64_t ran = 0;
    std::uint64_t failed = 0;  ///< of ran: with status 500 or above
    std::uint64_t in_time = 0; ///< of ran: not failed, within the deadline
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retried = 0;
    std::uint64_t wrong = 0;
    /// From the planned arrival, so that a slow fleet cannot hide its queue.
    histogram latency;
};

/// One piece of work with all its attempts.
struct job
{
    std::size_t stream = 0;
    std::string key;
    std::vector<std::string> requests;
    time_point planned;
};

struct arrivals
{
    std::mt19937_64 random;
    time_point next;
};

struct plan_state
{
    plan_options options;
    time_point end;
    std::vector<load::arrivals> arrivals;
    std::vector<load::totals> totals;
    std::unordered_map<std::uint64_t, job> open;
    std::multimap<time_point, job> repeats;
    std::uint64_t next_ticket = 1;
};

struct plan_actions
{
    std::vector<transfer> transfers;
    std::vector<evidence::record> records;
};

/// Streams start at \p now with a first arrival drawn for each.
plan_state make_plan(plan_options const& options, time_point now);

/// Sends what has become due.
void on_time(plan_state& state, time_point now, plan_actions& out);

void on_result(plan_state& state, transfer_result const& result, time_point now,
               plan_actions& out);

/// When on_time() has something to send; time_point::max() after the end.
time_point next_send(plan_state const& state);

/// Whether all arrivals are over and every job has ended.
bool is_finished(plan_state const& state);

} // namespace gooseberrycove::load

#endif
