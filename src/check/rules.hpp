#ifndef GOOSEBERRYCOVE_CHECK_RULES_HPP
#define GOOSEBERRYCOVE_CHECK_RULES_HPP

#include "evidence/history.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::check
{

/// Bounds that the invariants name.
struct bounds
{
    /// I5: time after which a leaving server gets no new work.
    duration drain{2'000'000};
    /// I7: time after which an accepted version is in force everywhere.
    duration config{3'000'000};
};

struct violation
{
    std::string what;
    std::vector<evidence::record> records;
};

struct findings
{
    /// Cases to which the rule applied; with 0 a clean result says nothing.
    std::size_t examined = 0;
    std::vector<violation> violations;
};

/// \param records  all histories, ordered by time
using rule_function = findings (*)(std::span<evidence::record const> records,
                                   bounds const& limits);

struct rule
{
    std::string_view name;
    std::string_view promise;
    rule_function check;
};

/// One rule for each invariant of section 1.2 of docs/design.md, and one that
/// the histories themselves are whole.
std::span<rule const> all_rules();

findings check_floor(std::span<evidence::record const> records,
                     bounds const& limits);
findings check_responses(std::span<evidence::record const> records,
                         bounds const& limits);
findings check_not_run(std::span<evidence::record const> records,
                       bounds const& limits);
findings check_at_most_once(std::span<evidence::record const> records,
                            bounds const& limits);
findings check_drain(std::span<evidence::record const> records,
                     bounds const& limits);
findings check_graceful(std::span<evidence::record const> records,
                        bounds const& limits);
findings check_config(std::span<evidence::record const> records,
                      bounds const& limits);
findings check_whole(std::span<evidence::record const> records,
                     bounds const& limits);

} // namespace gooseberrycove::check

#endif
