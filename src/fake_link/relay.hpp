#ifndef GOOSEBERRYCOVE_FAKE_LINK_RELAY_HPP
#define GOOSEBERRYCOVE_FAKE_LINK_RELAY_HPP

#include "fake_link/link.hpp"

namespace gooseberrycove::fake_link
{

/// Relays TCP and UDP for the nodes, and takes commands, one a line, at the
/// control address. Returns after SIGTERM or SIGINT. A datagram that meets a
/// cut is dropped. A stream that meets a cut stands still in that direction
/// until it is healed, as it would while TCP repeats lost segments.
void relay(state& link, std::string_view control);

} // namespace gooseberrycove::fake_link

#endif
