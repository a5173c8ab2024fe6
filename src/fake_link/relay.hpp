#ifndef GOOSEBERRYCOVE_FAKE_LINK_RELAY_HPP
#define GOOSEBERRYCOVE_FAKE_LINK_RELAY_HPP

#include "fake_link/link.hpp"

namespace gooseberrycove::fake_link
{

/// Relays TCP and UDP for the nodes, and accepts commands, one per line, at the
/// address \p control. Returns after SIGTERM or SIGINT. A datagram in a blocked
/// direction is dropped. Stream data in a blocked direction is held back until
/// the direction is healed, as it would be while TCP retransmits lost segments.
/// \throws std::exception when an address cannot be used
void relay(state& link, std::string_view control);

} // namespace gooseberrycove::fake_link

#endif
