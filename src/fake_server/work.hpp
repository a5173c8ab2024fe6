#ifndef GOOSEBERRYCOVE_FAKE_SERVER_WORK_HPP
#define GOOSEBERRYCOVE_FAKE_SERVER_WORK_HPP

#include "evidence/history.hpp"
#include "fake_server/faults.hpp"

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace gooseberrycove::fake_server
{

/// Capacity and speed of one backend server stand-in.
struct work_limits
{
    std::string name;
    std::string service;
    std::size_t slots = 4;
    /// Work that may wait for a slot; more is shed.
    std::size_t queue = 16;
    duration mean{20'000};
    /// Cold start: service times fall from cold_factor to 1 over this time.
    duration warmup{0};
    std::uint64_t seed = 1;
};

/// Service time in the first moment of a cold start, relative to a warm
/// server.
inline constexpr double cold_factor = 5;

/// Spread of the log-normal service times (standard deviation of the log).
inline constexpr double service_sigma = 0.4;

/// One request for work.
struct arrival
{
    std::uint64_t ticket = 0;
    std::uint64_t connection = 0;
    std::string request;
    std::string key;
    std::size_t filler_size = 0;
    std::optional<time_point> deadline;
    time_point at;
};

enum class answer_kind
{
    done,   ///< status 200
    failed, ///< ran, status 500
    refused ///< status 503, not run
};

/// What the caller of \p ticket gets.
struct answer
{
    std::uint64_t ticket = 0;
    answer_kind kind = answer_kind::done;
    bool cut = false;
    std::uint64_t sequence = 0;
    std::string request;
    std::size_t filler_size = 0;
    std::string reason;
};

struct actions
{
    std::vector<answer> answers;
    std::vector<evidence::record> records;
};

struct running_work
{
    arrival what;
    std::uint64_t sequence = 0;
    time_point finish_at;
    bool fails = false;
    bool cut = false;
    duration late{0};
};

struct held_answer
{
    time_point send_at;
    answer what;
};

struct load_sample
{
    time_point at;
    std::size_t in_flight = 0;
};

struct work_state
{
    work_limits limits;
    fake_server::faults faults;
    time_point started;
    bool draining = false;
    std::uint64_t sequence = 0;
    std::mt19937_64 random;
    std::deque<arrival> queue;
    std::vector<running_work> running;
    std::vector<held_answer> held;
    /// Load over the last load_lag, oldest first; never empty.
    std::deque<load_sample> loads;
};

work_state make_work_state(work_limits const& limits, time_point now);

/// Refuses the work (queue full, deadline passed, draining) or queues it.
void on_arrival(work_state& state, arrival&& what, time_point now,
                actions& out);

/// The caller has closed its connection: work that has not started is dropped,
/// running work goes on, its answer is of no use.
void on_closed(work_state& state, std::uint64_t connection, time_point now,
               actions& out);

/// Finishes what is due, refuses queued work past its deadline, starts work in
/// free slots and releases late answers.
void on_tick(work_state& state, time_point now, actions& out);

void on_faults(work_state& state, faults const& what, time_point now,
               actions& out);

/// From now on new work is refused as not run.
void on_drain(work_state& state);

/// When on_tick() has something to do next; nothing when it waits for others.
std::optional<time_point> next_tick(work_state const& state, time_point now);

/// Whether no work is queued, running or waiting for its answer.
bool is_idle(work_state const& state);

/// Slots in use as /load and the announcement report them, with lag and lie.
std::size_t reported_in_flight(work_state const& state, time_point now);

} // namespace gooseberrycove::fake_server

#endif
