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
    /// Number of requests that may wait for a slot; more are refused.
    std::size_t queue = 16;
    duration mean{20'000};
    /// Cold start: service times fall from cold_factor to 1 over this time.
    duration warmup{0};
    std::uint64_t seed = 1;
};

/// Service time at the beginning of a cold start, relative to a warm server.
inline constexpr double cold_factor = 5;

/// Spread of the log-normal service times (standard deviation of the log).
inline constexpr double service_sigma = 0.4;

/// A request for work, as it arrived.
struct arrival
{
    std::uint64_t ticket = 0;
    std::uint64_t connection = 0;
    std::string request_id;
    std::string key;
    std::size_t filler_size = 0;
    std::optional<time_point> deadline;
    time_point at;
};

enum class response_kind
{
    done,   ///< status 200
    failed, ///< ran, status 500
    refused ///< status 503, not run
};

/// Response to the request with this ticket.
struct response
{
    std::uint64_t ticket = 0;
    response_kind kind = response_kind::done;
    bool is_truncated = false;
    std::uint64_t sequence = 0;
    std::string request_id;
    std::size_t filler_size = 0;
    std::string reason;
    /// Set when second_part messages with this ticket follow.
    std::optional<second_kind> second;
};

/// Bytes to write after the response with this ticket.
struct second_part
{
    std::uint64_t ticket = 0;
    std::size_t index = 0;
};

struct actions
{
    std::vector<response> responses;
    std::vector<second_part> second_parts;
    std::vector<evidence::record> records;
};

struct running_work
{
    arrival work;
    std::uint64_t sequence = 0;
    time_point finish_at;
    bool will_fail = false;
    bool is_truncated = false;
    std::optional<second_kind> second;
    duration response_delay{0};
    duration second_delay{0};
};

struct delayed_response
{
    time_point send_at;
    response content;
    duration second_delay{0};
};

struct delayed_second_part
{
    time_point send_at;
    second_part content;
};

/// Number of parts that a second response of this kind is written in.
std::size_t part_count(second_kind kind);

/// Pause between the parts of a second response.
inline constexpr duration second_part_pause{60'000};

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
    bool is_draining = false;
    std::uint64_t last_sequence = 0;
    std::mt19937_64 random_engine;
    std::deque<arrival> queue;
    std::vector<running_work> running;
    std::vector<delayed_response> delayed_responses;
    std::vector<delayed_second_part> delayed_second_parts;
    /// Load over the last load_lag, oldest first; never empty.
    std::deque<load_sample> loads;
};

work_state make_work_state(work_limits const& limits, time_point now);

/// Refuses the work (queue full, deadline passed, draining) or queues it.
void on_arrival(work_state& state, arrival&& work, time_point now,
                actions& out);

/// Handles a connection that the caller closed: drops work that has not
/// started. Running work is finished, though its response cannot be sent.
void on_closed(work_state& state, std::uint64_t connection, time_point now,
               actions& out);

/// Finishes work that is due, refuses queued work past its deadline, starts
/// work in free slots and releases delayed responses and second ones.
void on_tick(work_state& state, time_point now, actions& out);

void on_faults(work_state& state, faults const& new_faults, time_point now,
               actions& out);

/// From now on new work is refused as not run.
void on_drain(work_state& state);

/// Time of the next on_tick(); nothing while no queued or running work and no
/// delayed response sets one.
std::optional<time_point> next_tick(work_state const& state, time_point now);

/// Whether no work is queued or running and no response is delayed. Second
/// responses do not count.
bool is_idle(work_state const& state);

/// Slots in use as /load and the announcement report them, after the faults
/// load_lag and reported_load_factor.
std::size_t reported_in_flight(work_state const& state, time_point now);

} // namespace gooseberrycove::fake_server

#endif
