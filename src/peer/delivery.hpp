#ifndef GOOSEBERRYCOVE_PEER_DELIVERY_HPP
#define GOOSEBERRYCOVE_PEER_DELIVERY_HPP

#include "peer_thread.hpp"

#include <optional>

namespace gooseberrycove::peer
{

/// Pushes a received payload into the ring of the duty that handles it. Returns
/// the result to send back when work is refused because the ring is full; other
/// payloads are dropped and counted.
std::optional<outgoing> deliver(payload&& content, wiring const& to);

/// Result for work that this home refuses as not run because it is overloaded.
work_result make_refused_result(work_request const& refused, daemon_ref home,
                                std::string_view detail);

/// Result for work that was lost on the way to its home.
/// \param was_sent  true when the work may have reached the home, so that its
///                  outcome is unknown; false gives the outcome not run
work_result make_lost_work_result(request_id id, std::uint32_t attempt,
                                  bool was_sent, std::string_view address);

/// Whether the payload belongs to a caller's request; other payloads are
/// control messages.
bool carries_work(payload const& content);

/// Counts the bytes of a frame whose other end is in \p other_end.
void count_bytes(metrics& counts, direction flow, bool is_work, scope other_end,
                 std::size_t bytes);

/// Peer address, `ip:port`, at which the sender of \p content receives
/// messages; empty when the payload does not contain it.
std::string_view reply_address(payload const& content);

} // namespace gooseberrycove::peer

#endif
