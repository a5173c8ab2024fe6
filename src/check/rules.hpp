#ifndef GOOSEBERRYCOVE_CHECK_RULES_HPP
#define GOOSEBERRYCOVE_CHECK_RULES_HPP

#include "evidence/history.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::check
{

/// Time limits of the invariants.
struct time_limits
{
    /// I5: time after which a draining server receives no new work.
    duration drain_time{2'000'000};
    /// I7: time after which an accepted version is in force everywhere.
    duration config_time{3'000'000};
};

struct violation
{
    /// Text that gcove_check prints.
    std::string description;
    /// Records that show the violation.
    std::vector<evidence::record> records;
};

struct findings
{
    /// Number of cases to which the rule applied. When it is 0, the lack of
    /// violations is no evidence that the rule holds.
    std::size_t examined = 0;
    std::vector<violation> violations;
};

/// \param records  all histories, ordered by time
using rule_function = findings (*)(std::span<evidence::record const> records,
                                   time_limits const& limits);

struct rule
{
    /// Id of the rule, as listed in the flag --require.
    std::string_view name;
    std::string_view invariant;
    rule_function check;
};

/// One rule for each invariant of section 1.2 of docs/design.md, and one rule
/// that checks that the histories are complete.
std::span<rule const> all_rules();

findings check_floor(std::span<evidence::record const> records,
                     time_limits const& limits);
findings check_responses(std::span<evidence::record const> records,
                         time_limits const& limits);
findings check_not_run(std::span<evidence::record const> records,
                       time_limits const& limits);
findings check_at_most_once(std::span<evidence::record const> records,
                            time_limits const& limits);
findings check_drain(std::span<evidence::record const> records,
                     time_limits const& limits);
findings check_graceful_stop(std::span<evidence::record const> records,
                             time_limits const& limits);
findings check_config(std::span<evidence::record const> records,
                      time_limits const& limits);
findings check_complete_history(std::span<evidence::record const> records,
                                time_limits const& limits);

} // namespace gooseberrycove::check

#endif
