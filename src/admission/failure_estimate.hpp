#ifndef GOOSEBERRYCOVE_ADMISSION_FAILURE_ESTIMATE_HPP
#define GOOSEBERRYCOVE_ADMISSION_FAILURE_ESTIMATE_HPP

#include <gooseberrycove/types.hpp>
#include <gooseberrycove/work.hpp>

namespace gooseberrycove::admission
{

/// Expected share of a server's next requests that fail or are refused although
/// it has free slots: the larger one of two estimates. Failures are the
/// evidence of a Bayesian filter over two states, sound and failing. Refusals
/// with free slots are counted instead, because a server that refuses a part of
/// its requests serves the rest. It reacts to one or two results, while the
/// sequential test of health needs many for an ejection. The estimate does not
/// eject servers: while the service has other servers, a suspected server only
/// gets trial requests.
struct failure_estimate
{
    /// The larger one of both estimates.
    double probability = 0.02;
    /// Probability that the server fails most of its work, from failures.
    double fault_probability = 0.02;
    /// Recent refusals with free slots, and recent runs that ended; decayed.
    double refusals = 0;
    double runs = 0;
    time_point updated_at;
    /// Time of the newest evidence against the server. The success of work that
    /// began earlier is no evidence of its state after that time.
    time_point last_failure;
};

/// Time after which a running request counts as progress, and up to which a
/// failure counts as fast. At the users' sites a failing server responds within
/// 2 ms.
inline constexpr duration min_progress_time = std::chrono::milliseconds(20);

/// Evidence about the state of a server.
enum class observation : std::uint8_t
{
    success,
    progress,     ///< runs for longer than failures take
    completion,   ///< success of work that was recorded as progress
    fast_failure, ///< far sooner than work takes; it was not attempted
    late_failure, ///< after work; a call that the server made may have failed
    lost,         ///< no response, or a truncated one
    refused,      ///< refused by a server that does not state its load
    refused_when_free, ///< refused by a server that states free slots
    refused_when_full, ///< refused by a server that states none
    overdue            ///< no response yet, far beyond the expected time
};

/// Updates the probability to \p now. Without evidence it decays to
/// prior_failure_probability, the share of time for which servers fail.
void decay(failure_estimate& estimate, time_point now);

/// \param began  when the request was sent to the server
void apply_observation(failure_estimate& estimate, observation observed,
                       time_point began, time_point now);

/// Share of refusals with free slots among the recent requests, at \p now.
double refusal_share(failure_estimate const& estimate, time_point now);

/// The probability at \p now.
double failure_probability_at(failure_estimate const& estimate, time_point now);

} // namespace gooseberrycove::admission

#endif
