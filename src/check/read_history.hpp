#ifndef GOOSEBERRYCOVE_CHECK_READ_HISTORY_HPP
#define GOOSEBERRYCOVE_CHECK_READ_HISTORY_HPP

#include "evidence/history.hpp"

#include <istream>
#include <string_view>
#include <vector>

namespace gooseberrycove::check
{

/// Appends the records of one file to \p out. A last line without a line end is
/// ignored, because a killed process may leave an incomplete line.
/// \param name  file name for error messages
/// \throws std::invalid_argument with file and line for a line that is not a
/// record
void read_history(std::string_view name, std::istream& in,
                  std::vector<evidence::record>& out);

/// Sorts the records of several files by time; equal times keep their order.
void sort_by_time(std::vector<evidence::record>& records);

} // namespace gooseberrycove::check

#endif
