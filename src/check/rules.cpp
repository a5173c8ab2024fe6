#include "check/rules.hpp"

#include <array>

namespace gooseberrycove::check
{

std::span<rule const> all_rules()
{
    static constexpr std::array<rule, 8> rules{{
        {"I1", "ejections leave the floor of healthy capacity", check_floor},
        {"I2", "callers get whole responses to their own requests",
         check_responses},
        {"I3", "work that was reported not run was not run", check_not_run},
        {"I4", "non-repeatable work runs at most once", check_at_most_once},
        {"I5", "a leaving server gets no new work", check_drain},
        {"I6", "a graceful stop cuts off no request", check_graceful_stop},
        {"I7", "an accepted version is in force everywhere, for good",
         check_config},
        {"H", "no history lacks records", check_complete_history},
    }};
    return rules;
}

findings check_complete_history(std::span<evidence::record const> records,
                                time_limits const&)
{
    findings result;
    for (evidence::record const& item : records)
    {
        ++result.examined;
        if (item.event == "lost")
            result.violations.push_back(
                {"records were dropped by a full ring", {item}});
    }
    return result;
}

} // namespace gooseberrycove::check
