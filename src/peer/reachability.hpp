#ifndef GOOSEBERRYCOVE_PEER_REACHABILITY_HPP
#define GOOSEBERRYCOVE_PEER_REACHABILITY_HPP

#include <gooseberrycove/types.hpp>

#include <cstdint>

namespace gooseberrycove::peer
{

/// Work is sent without a check when a message sent at most this long ago on
/// the same connection has been answered. In a busy fleet, results arrive often
/// enough that no check is sent.
inline constexpr duration max_confirmation_age = std::chrono::milliseconds(150);

/// Maximum time to the reply to a check; work that waits for the check is then
/// returned as not run. TCP retransmits a lost packet after about 200 ms.
inline constexpr duration check_timeout = std::chrono::milliseconds(250);

/// After a check has had no reply for this long, the next work uses a new
/// connection: the network may drop the packets of the old connection while it
/// passes those of a new one.
inline constexpr duration unresponsive_limit = std::chrono::seconds(1);

/// State of the reachability check of one connection. Work that was written to
/// a connection during a partition may still run later, so it cannot be
/// returned as not run. Work is therefore sent only when the connection has
/// carried a message and its reply within \ref max_confirmation_age; until then
/// it waits and can still be returned as not run.
struct reachability
{
    /// Sending time of the newest frame that has been answered.
    time_point confirmed_at;
    /// Number of the outstanding check, or 0.
    std::uint64_t check_number = 0;
    time_point check_sent_at;
};

enum class send_step : std::uint8_t
{
    send,
    wait,           ///< for the reply to the outstanding check
    check,          ///< send one with reachability::check_number, and wait
    return_not_run, ///< the check is overdue
    reconnect       ///< the connection is unresponsive
};

/// Decides what to do with work for the daemon at the other end.
/// \param next_number  number for a new check
send_step next_send_step(reachability& state, std::uint64_t next_number,
                         time_point now);

/// Handles the reply to the check \p number; replies to earlier checks are
/// ignored.
void on_check_reply(reachability& state, std::uint64_t number);

/// Records that a frame sent at \p sent_at was answered.
void on_confirmed(reachability& state, time_point sent_at);

/// Whether the outstanding check has exceeded \ref check_timeout, so that
/// waiting work must be returned as not run.
bool is_check_overdue(reachability const& state, time_point now);

} // namespace gooseberrycove::peer

#endif
