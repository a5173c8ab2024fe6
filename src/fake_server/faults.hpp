#ifndef GOOSEBERRYCOVE_FAKE_SERVER_FAULTS_HPP
#define GOOSEBERRYCOVE_FAKE_SERVER_FAULTS_HPP

#include <gooseberrycove/types.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberrycove::fake_server
{

/// Bytes that follow a complete response on its connection.
enum class second_kind : std::uint8_t
{
    same,        ///< the same response again
    split,       ///< the same response, its head in two parts
    bare,        ///< a success with a body of two bytes, without id and stamp
    undelimited, ///< a success without id and length
    noise        ///< bytes that are no response
};

/// Faults that POST /faults switches on. None of them changes /healthz.
struct faults
{
    /// Share of work that gets a response with status 500.
    double fail_rate = 0;
    /// Multiplies service times.
    double slow_factor = 1;
    /// When positive, the other faults alternate between active and inactive
    /// periods of this length; the first period is active.
    duration flap{0};
    /// Age of the load that /load reports.
    duration load_lag{0};
    /// Multiplies the reported load; 0 reports an idle server.
    double reported_load_factor = 1;
    /// Share of responses that end in the middle of the body.
    double truncated_share = 0;
    /// Time between the end of the work and its response.
    duration response_delay{0};
    /// Share of responses that are followed by second_kind.
    double second_share = 0;
    /// Time from the end of the first response to the second.
    duration second_delay{0};
    second_kind second = second_kind::same;
    /// Work is accepted but not started, and no response is sent.
    bool is_unresponsive = false;
    /// When the faults were set; the periods of `flap` begin here.
    time_point set_at;
};

/// Reads the JSON body of POST /faults. An absent member gets its default
/// value, which is no fault, so `{}` clears all faults.
/// \throws std::invalid_argument for other text or values out of range
faults parse_faults(std::string_view body, time_point now);

std::string to_json(faults const& configured);

/// Faults that act at \p now: none in an inactive period of `flap`.
faults active_faults(faults const& configured, time_point now);

/// End of the present period of flapping faults.
time_point next_flap(faults const& configured, time_point now);

} // namespace gooseberrycove::fake_server

#endif
