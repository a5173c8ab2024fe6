#ifndef GOOSEBERRYCOVE_DAEMON_SETTINGS_HPP
#define GOOSEBERRYCOVE_DAEMON_SETTINGS_HPP

#include <gooseberrycove/settings.hpp>

#include <span>

namespace gooseberrycove
{

/// Every key that the daemon's INI file may hold.
std::span<setting const> daemon_schema();

} // namespace gooseberrycove

#endif
