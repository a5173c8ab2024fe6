#ifndef GOOSEBERRYCOVE_LOAD_SUMMARY_HPP
#define GOOSEBERRYCOVE_LOAD_SUMMARY_HPP

#include "load/plan.hpp"

#include <string>

namespace gooseberrycove::load
{

/// Text table with a title line and one line for each stream.
std::string summary_table(plan_state const& state);

/// Counts and latencies of each stream as
/// `{"streams":{NAME:{...}},"wrong":n}`, ended by a newline.
std::string summary_json(plan_state const& state);

/// Number of wrong responses to all streams; see is_wrong().
std::uint64_t count_wrong(plan_state const& state);

} // namespace gooseberrycove::load

#endif
