#ifndef GOOSEBERRYCOVE_LOAD_SUMMARY_HPP
#define GOOSEBERRYCOVE_LOAD_SUMMARY_HPP

#include "load/plan.hpp"

#include <string>

namespace gooseberrycove::load
{

/// One line for each stream under a line of titles.
std::string summary_table(plan_state const& state);

/// `{"streams":{NAME:{...}},"wrong":n}`.
std::string summary_json(plan_state const& state);

/// Wrong responses of all streams.
std::uint64_t count_wrong(plan_state const& state);

} // namespace gooseberrycove::load

#endif
