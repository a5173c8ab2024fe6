#include "check/read.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <string>

namespace gooseberrycove::check
{

void read_history(std::string_view name, std::istream& in,
                  std::vector<evidence::record>& out)
{
    int number = 0;
    for (std::string line; std::getline(in, line);)
    {
        ++number;
        if (in.eof())
            return;
        if (line.empty())
            continue;
        try
        {
            out.push_back(evidence::parse_record(line));
        }
        catch (std::invalid_argument const& fault)
        {
            throw std::invalid_argument(
                fmt::format("{}:{}: {}", name, number, fault.what()));
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
