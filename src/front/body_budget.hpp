#ifndef GOOSEBERRYCOVE_FRONT_BODY_BUDGET_HPP
#define GOOSEBERRYCOVE_FRONT_BODY_BUDGET_HPP

#include <gooseberrycove/types.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrycove::front
{

/// Bodies up to this size have a reserve that larger ones cannot take, not even
/// a large one that was admitted because it was alone.
inline constexpr std::uint64_t small_body_bytes = std::uint64_t{64} << 10;
/// The reserve for small bodies is this part of the budget.
inline constexpr std::uint64_t small_reserve_divisor = 8;
/// Bytes of memory for each byte of a body: it is held by the front or routing,
/// and a copy of it by the message to a backend server or another daemon.
inline constexpr std::uint64_t copies_of_body = 2;
/// A body without progress for this long gives way to one that makes progress.
inline constexpr duration stalled_after = std::chrono::seconds(5);
/// A body without progress for this long is ended under pressure.
inline constexpr duration max_stall = std::chrono::seconds(20);
/// Pressure begins when this part of the budget is taken.
inline constexpr std::uint64_t pressure_divisor = 2;

/// A body that is being read, or whose request has no response yet.
struct open_body
{
    /// Address of the client without its port.
    std::string client;
    std::uint64_t bytes = 0;
    time_point last_progress;
    /// Read to its end. Its request may run, so it never gives way.
    bool is_complete = false;
};

/// The budget of bytes of one daemon and the bodies that take from it.
struct body_budget
{
    /// 0: no limit.
    std::uint64_t max_bytes = 0;
    /// Sum over all bodies, with their copies.
    std::uint64_t held_bytes = 0;
    /// Part of held_bytes that bodies up to small_body_bytes take.
    std::uint64_t small_held_bytes = 0;
    std::unordered_map<std::uint64_t, open_body> bodies;
    std::unordered_map<std::string, std::size_t> bodies_of_client;
};

struct growth_decision
{
    bool is_admitted = false;
    /// Bodies that end so that there is room.
    std::vector<std::uint64_t> ended;
};

/// Adds a body without bytes.
void add_body(body_budget& budget, std::uint64_t body,
              std::string const& client, time_point now);

/// Decides whether a body may grow to \p bytes, and which unfinished bodies
/// give way: stalled ones first, then the largest of clients with more open
/// bodies. A body that is alone is always admitted.
growth_decision decide_growth(body_budget const& budget, std::uint64_t body,
                              std::uint64_t bytes, time_point now);

/// Sets the size of a body that has made progress.
void set_body_bytes(body_budget& budget, std::uint64_t body,
                    std::uint64_t bytes, time_point now);

void complete_body(body_budget& budget, std::uint64_t body);

void remove_body(body_budget& budget, std::uint64_t body);

/// Returns the unfinished bodies that are ended because they have made no
/// progress for max_stall and the budget is under pressure.
std::vector<std::uint64_t> find_overdue_bodies(body_budget const& budget,
                                               time_point now);

} // namespace gooseberrycove::front

#endif
