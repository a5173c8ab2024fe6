#ifndef GOOSEBERRYCOVE_CHECK_READ_HPP
#define GOOSEBERRYCOVE_CHECK_READ_HPP

#include "evidence/history.hpp"

#include <istream>
#include <string_view>
#include <vector>

namespace gooseberrycove::check
{

/// Appends the records of one file. A last line without a line end is the
/// trace of a killed process and is ignored.
/// \throws std::invalid_argument with file and line for a line that is no
/// record
void read_history(std::string_view name, std::istream& in,
                  std::vector<evidence::record>& out);

/// Orders records of several files by their time.
void sort_by_time(std::vector<evidence::record>& records);

} // namespace gooseberrycove::check

#endif
