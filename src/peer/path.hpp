#ifndef GOOSEBERRYCOVE_PEER_PATH_HPP
#define GOOSEBERRYCOVE_PEER_PATH_HPP

#include <gooseberrycove/types.hpp>

#include <cstdint>

namespace gooseberrycove::peer
{

/// A daemon that answered something sent this long ago or later is taken as
/// reachable. In a busy fleet results prove the path all the time, and no
/// check is sent.
inline constexpr duration proof_age = std::chrono::milliseconds(150);

/// Longest wait for the answer to a check. A lost packet comes again after
/// about 200 ms.
inline constexpr duration check_limit = std::chrono::milliseconds(250);

/// A check without an answer for this long makes the next work use a new
/// connection: the old one may have gone silent while new ones work.
inline constexpr duration silence_limit = std::chrono::seconds(1);

/// Whether a home is known to be reachable over one connection. Work that a
/// partition holds up cannot be taken back, so it is only sent over a path
/// that has just carried something there and back; until then it waits, and
/// can still be given back as not run.
struct path
{
    /// When the newest frame was sent that is known to have arrived.
    time_point proven;
    /// Number of the check under way, or 0.
    std::uint64_t check = 0;
    time_point asked;
};

enum class path_step : std::uint8_t
{
    send,
    wait,      ///< for the check under way
    check,     ///< send one with path::check as its number, and wait
    give_back, ///< the check is late
    reconnect  ///< the connection is taken as silent
};

/// What to do with work for the daemon at the other end.
path_step on_outgoing_work(path& of, std::uint64_t next_number, time_point now);

/// The check \p number was answered.
void on_check_answer(path& of, std::uint64_t number);

/// Something sent at \p sent has arrived.
void on_proof(path& of, time_point sent);

/// Whether work that waits must be given back.
bool is_late(path const& of, time_point now);

} // namespace gooseberrycove::peer

#endif
