#ifndef GOOSEBERRYCOVE_PEER_DELIVERY_HPP
#define GOOSEBERRYCOVE_PEER_DELIVERY_HPP

#include "peer_thread.hpp"

#include <optional>

namespace gooseberrycove::peer
{

/// Pushes a received payload into the ring of the duty that takes it. Returns
/// the refusal to send back when work finds the ring full.
std::optional<outgoing> deliver(payload&& what, wiring const& to);

/// Result for work that certainly did not reach its home (\p sent false), or
/// that may have reached it.
work_result lost_work(request_id id, std::uint32_t attempt, bool sent,
                      std::string_view address);

/// Whether the payload belongs to a caller's request rather than to control.
bool carries_work(payload const& what);

/// Address at which the sender of \p what takes messages; empty when the
/// payload does not tell.
std::string_view reply_address(payload const& what);

} // namespace gooseberrycove::peer

#endif
