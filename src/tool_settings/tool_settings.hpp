#ifndef GOOSEBERRYCOVE_TOOL_SETTINGS_HPP
#define GOOSEBERRYCOVE_TOOL_SETTINGS_HPP

#include <gooseberrycove/settings.hpp>

#include <functional>
#include <span>
#include <string_view>

namespace gooseberrycove::tool_settings
{

/// Reads the file and the overrides that the flags name, again on each call.
/// \throws settings_error with every fault
settings read_settings(std::span<setting const> schema);

/// Parses the flags of a program, reads its settings and calls \p run with
/// them. Returns the exit code: that of \p run, 0 after --check_settings, 2 for
/// settings that cannot be used, 1 for another failure.
/// \param check  throws settings_error for values that the schema cannot check
int run_with_settings(int argc, char** argv, std::string_view usage,
                      std::span<setting const> schema,
                      std::function<int(settings const&)> const& run,
                      std::function<void(settings const&)> const& check = {});

} // namespace gooseberrycove::tool_settings

#endif
