#ifndef GOOSEBERRYCOVE_ADMISSION_FAILURE_ESTIMATE_HPP
#define GOOSEBERRYCOVE_ADMISSION_FAILURE_ESTIMATE_HPP

#include <gooseberrycove/types.hpp>
#include <gooseberrycove/work.hpp>

namespace gooseberrycove::admission
{

/// Probability that a server fails most of its work at present: a filter over
/// two states, sound and failing, with the results of the server's work as
/// evidence. It answers within one or two results, where the sequential test
/// of health takes the many that an ejection needs. Doubt ejects nobody: only
/// tests go to a server in doubt while the service has others.
struct failure_estimate
{
    double probability = 0.02;
    time_point updated_at;
    /// Newest evidence against the server. Work that began before it says
    /// nothing about the server's state after it.
    time_point last_failure;
};

/// What one result says about the server.
enum class observation : std::uint8_t
{
    success,
    progress,     ///< runs on when a failing server would have answered
    completion,   ///< success of work that has counted as progress
    fast_failure, ///< far sooner than work takes: nothing was tried
    late_failure, ///< after work; a call of the server's own may have failed
    lost,         ///< no answer, or one that broke off
    refused,      ///< refused although a slot was free
    overdue       ///< no answer yet, far beyond the usual time
};

/// Moves the probability to \p now: without evidence it returns to the share
/// of time for which servers fail.
void decay(failure_estimate& estimate, time_point now);

/// \param began  when the server got the work
void apply_observation(failure_estimate& estimate, observation observed,
                       time_point began, time_point now);

/// The probability at \p now.
double failure_probability_at(failure_estimate const& estimate, time_point now);

} // namespace gooseberrycove::admission

#endif
