#ifndef GOOSEBERRYCOVE_DAEMON_SETTINGS_HPP
#define GOOSEBERRYCOVE_DAEMON_SETTINGS_HPP

#include <gooseberrycove/settings.hpp>

#include <span>

namespace gooseberrycove
{

/// Schema of the daemon's INI file: every allowed key.
std::span<setting const> daemon_schema();

} // namespace gooseberrycove

#endif
