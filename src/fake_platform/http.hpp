#ifndef GOOSEBERRYCOVE_FAKE_PLATFORM_HTTP_HPP
#define GOOSEBERRYCOVE_FAKE_PLATFORM_HTTP_HPP

#include "fake_platform/platform.hpp"

#include <string>

namespace gooseberrycove::fake_platform
{

/// Serves the platform at \p address (`ip:port`) until SIGTERM or SIGINT.
/// \throws std::exception when the address cannot be used
void serve(state& platform, std::string const& address);

} // namespace gooseberrycove::fake_platform

#endif
