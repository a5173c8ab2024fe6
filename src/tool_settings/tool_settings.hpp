#ifndef GOOSEBERRYCOVE_TOOL_SETTINGS_HPP
#define GOOSEBERRYCOVE_TOOL_SETTINGS_HPP

#include <gooseberrycove/settings.hpp>

#include <span>
#include <string_view>

namespace gooseberrycove::tool_settings
{

/// Reads the file and the overrides that the flags name, again on each call.
/// \throws settings_error with every fault
settings read_settings(std::span<setting const> schema);

/// What a program brings to run_with_settings().
struct tool
{
    std::string_view usage;
    std::span<setting const> schema;
    /// Throws settings_error for values that the schema cannot check. May be
    /// null.
    void (*check)(settings const& values);
    /// Returns the exit code.
    int (*run)(settings const& values);
};

/// Parses the flags, reads and checks the settings and runs the tool. Returns
/// its exit code, 0 after --check_settings, 2 for settings that cannot be
/// used, 1 for another failure.
int run_with_settings(int argc, char** argv, tool const& what);

} // namespace gooseberrycove::tool_settings

#endif
