#ifndef GOOSEBERRYCOVE_ADMISSION_OBSERVE_HPP
#define GOOSEBERRYCOVE_ADMISSION_OBSERVE_HPP

#include "state.hpp"

#include <optional>

namespace gooseberrycove::admission
{

/// What a refusal shows about its server. A server with free slots refuses for
/// a fault of its own or of its service, a full one because of its load.
observation observe_refusal(dispatch::finished const& finished_run);

/// Returns what a result shows about the present state of the server, or
/// std::nullopt when it is no evidence of that state.
std::optional<observation>
observe_result(dispatch::finished const& finished_run,
               service_time_estimate const& estimate);

/// Maps an observation to a sample for the sequential test of health.
health::sample_class to_sample_class(observation observed);

/// Whether the server refused work for the limit that it names, which is no
/// fault and does not show that it has fewer slots.
bool is_limit_refusal(homed_server_state const& server,
                      dispatch::finished const& finished_run);

/// Value of the label of the metric that counts refusals.
std::string_view refusal_cause(observation observed);

/// Logs when a server with free slots begins or ends to refuse a part of its
/// requests.
void record_refusing(homed_server_state& server,
                     dispatch::finished const& finished_run, time_point now,
                     actions& out);

} // namespace gooseberrycove::admission

#endif
