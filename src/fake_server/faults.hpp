#ifndef GOOSEBERRYCOVE_FAKE_SERVER_FAULTS_HPP
#define GOOSEBERRYCOVE_FAKE_SERVER_FAULTS_HPP

#include <gooseberrycove/types.hpp>

#include <string>
#include <string_view>

namespace gooseberrycove::fake_server
{

/// Faults that POST /faults switches on. None of them changes /healthz.
struct faults
{
    /// Share of work that is answered with status 500.
    double fail_rate = 0;
    /// Multiplies service times.
    double slow_factor = 1;
    /// With a value, the other faults act only in every second period of this
    /// length, beginning with an active one.
    duration flap{0};
    /// Age of the load that /load reports.
    duration load_lag{0};
    /// Factor on the load that is reported; 1 is the truth, 0 claims idleness.
    double load_lie = 1;
    /// Share of answers that end in the middle of the body.
    double cut_answer = 0;
    /// Time between the end of the work and its answer.
    duration late_answer{0};
    /// Work is accepted, but neither started nor answered.
    bool silent_stop = false;
    /// When the faults were set; flapping counts from here.
    time_point since;
};

/// Reads the JSON body of POST /faults. A member that is absent keeps its
/// value without a fault, so `{}` clears all.
/// \throws std::invalid_argument for other text or values out of range
faults parse_faults(std::string_view body, time_point now);

std::string to_json(faults const& what);

/// Faults that act at \p now: without the flapped ones in a quiet period.
faults active_faults(faults const& what, time_point now);

/// End of the present period of flapping faults.
time_point next_flap(faults const& what, time_point now);

} // namespace gooseberrycove::fake_server

#endif
