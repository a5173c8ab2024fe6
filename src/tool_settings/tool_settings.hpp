#ifndef GOOSEBERRYCOVE_TOOL_SETTINGS_HPP
#define GOOSEBERRYCOVE_TOOL_SETTINGS_HPP

#include <gooseberrycove/settings.hpp>

#include <functional>
#include <span>
#include <string_view>

namespace gooseberrycove::tool_settings
{

/// Reads the file of --settings and the overrides of --set. Each call reads the
/// file again.
/// \throws settings_error that lists every error
settings read_settings(std::span<setting const> schema);

/// Parses the flags of a program, reads its settings and calls \p run with
/// them. Returns the exit code: that of \p run, 0 after --check_settings, 2 for
/// invalid settings, 1 for any other exception.
/// \param usage         first lines of the --help text
/// \param check_values  throws settings_error for values that the schema cannot
///                      check
int run_with_settings(
    int argc, char** argv, std::string_view usage,
    std::span<setting const> schema,
    std::function<int(settings const&)> const& run,
    std::function<void(settings const&)> const& check_values = {});

} // namespace gooseberrycove::tool_settings

#endif
