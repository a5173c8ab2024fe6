#ifndef GOOSEBERRYCOVE_HEALTH_TRANSITIONS_HPP
#define GOOSEBERRYCOVE_HEALTH_TRANSITIONS_HPP

#include "state.hpp"

namespace gooseberrycove::health
{

/// Adds a status update about the server.
/// \param is_change  admission gets the update too
void report_status(server_test& test, time_point now, std::string reason,
                   bool is_change, bool requests_reports, actions& out);

/// A log line with the fields of the server.
event_line event_line_for(event event_id, server_test const& test);

/// Baseline that \p server is compared with, including the shared level.
baseline baseline_for(service_tests const& service, std::string_view server,
                      time_point now);

/// Latency model that the server's samples are compared with.
latency_model latency_model_for(server_test const& test, double sibling_mean);

/// Discards the residuals since the latency test was last at zero.
void discard_pending(latency_residuals& residuals);

/// Raises an alarm when a test has reached the threshold, and requests reports.
void check_alarm(health_duty_state const& state, server_test& test,
                 time_point now, actions& out);

/// Confirms the alarm of \p test against fresh reports and ejects the server,
/// clears the alarm, or waits for more reports.
void check_confirmation(health_duty_state const& state, service_tests& service,
                        server_test& test, time_point now, actions& out);

void clear_alarm(server_test& test, double kept_nats, std::string_view reason,
                 time_point now, actions& out);

void eject(server_test& test, double score, std::string_view reason,
           time_point now, actions& out);

void start_probation(server_test& test, std::string_view reason, time_point now,
                     actions& out);

/// Readmits or ejects a server in probation once its evidence suffices.
void check_probation(health_duty_state const& state, server_test& test,
                     time_point now, actions& out);

} // namespace gooseberrycove::health

#endif
