#include "check/read_history.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <string>

namespace gooseberrycove::check
{

void read_history(std::string_view name, std::istream& in,
                  std::vector<evidence::record>& out)
{
    int line_number = 0;
    for (std::string line; std::getline(in, line);)
    {
        ++line_number;
        if (in.eof())
            return;
        if (line.empty())
            continue;
        try
        {
            out.push_back(evidence::parse_record(line));
        }
        catch (std::invalid_argument const& failure)
        {
            throw std::invalid_argument(
                fmt::format("{}:{}: {}", name, line_number, failure.what()));
        }
    }
}

void sort_by_time(std::vector<evidence::record>& records)
{
    std::stable_sort(records.begin(), records.end(),
                     [](evidence::record const& a, evidence::record const& b)
                     { return a.time_us < b.time_us; });
}

} // namespace gooseberrycove::check
