#include "check/read_history.hpp"
#include "check/rules.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <exception>
#include <fstream>
#include <iostream>
#include <stdexcept>

DEFINE_uint32(drain_bound_ms, 2000, "I5: time until a leaving server is idle");
DEFINE_uint32(config_bound_ms, 3000, "I7: time until a version is in force");
DEFINE_string(require, "",
              "comma-separated rules that must have had something to examine");
DEFINE_uint32(shown, 20, "violations of one rule that are printed");

namespace
{

using namespace gooseberrycove;

std::vector<evidence::record> read_files(std::span<char* const> names)
{
    std::vector<evidence::record> records;
    for (std::string const name : names)
    {
        std::ifstream in(name);
        if (!in)
            throw std::invalid_argument(name + ": cannot be read");
        check::read_history(name, in, records);
    }
    check::sort_by_time(records);
    return records;
}

bool is_required(std::string_view name)
{
    return ("," + FLAGS_require + ",").find(fmt::format(",{},", name)) !=
           std::string::npos;
}

void print_violations(check::rule const& rule, check::findings const& found)
{
    std::size_t const printed =
        std::min<std::size_t>(FLAGS_shown, found.violations.size());
    for (check::violation const& item :
         std::span(found.violations).first(printed))
    {
        std::cout << fmt::format("  {} violated: {}\n", rule.name,
                                 item.description);
        for (evidence::record const& record : item.records)
            std::cout << "    " << evidence::to_json(record) << '\n';
    }
    if (printed < found.violations.size())
        std::cout << fmt::format("  and {} more\n",
                                 found.violations.size() - printed);
}

/// Applies a rule and prints its result and violations.
/// \return whether the rule holds. A rule that --require lists does not hold
///         when it examined no case.
bool apply_rule(check::rule const& rule,
                std::span<evidence::record const> records,
                check::time_limits const& limits)
{
    check::findings const found = rule.check(records, limits);
    bool const lacks_evidence = found.examined == 0 && is_required(rule.name);
    bool const holds = found.violations.empty() && !lacks_evidence;
    std::cout << fmt::format(
        "{:<3}{:<56}{:>9} examined  {}\n", rule.name, rule.invariant,
        found.examined,
        lacks_evidence ? "no evidence"
        : holds        ? "holds"
                       : fmt::format("{} violations", found.violations.size()));
    print_violations(rule, found);
    return holds;
}

int run(std::span<char* const> files)
{
    if (files.empty())
        throw std::invalid_argument("no history file is given");
    auto const records = read_files(files);
    check::time_limits limits;
    limits.drain_time = std::chrono::milliseconds(FLAGS_drain_bound_ms);
    limits.config_time = std::chrono::milliseconds(FLAGS_config_bound_ms);
    bool holds = true;
    for (check::rule const& rule : check::all_rules())
        holds = apply_rule(rule, records, limits) && holds;
    return holds ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Checks histories: gcove_check [flags] FILE...");
    gflags::SetVersionString(GCOVE_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        return run(std::span(argv, static_cast<std::size_t>(argc)).subspan(1));
    }
    catch (std::exception const& failure)
    {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
