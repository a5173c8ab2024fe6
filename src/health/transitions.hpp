#ifndef GOOSEBERRYCOVE_HEALTH_TRANSITIONS_HPP
#define GOOSEBERRYCOVE_HEALTH_TRANSITIONS_HPP

#include "state.hpp"

namespace gooseberrycove::health
{

/// Reports the server's status.
void tell(server_test& test, time_point now, std::string reason, bool changed,
          bool wants_reports, actions& out);

/// Start of a log line about \p test.
event_line line_of(event what, server_test const& test);

/// What \p server is compared with.
baseline usual_of(service_tests const& service, std::string_view server,
                  time_point now);

/// Latencies that \p test is compared with.
latency_model model_of(server_test const& test, double sibling_mean);

/// Forgets the residuals since the latency test last was at zero.
void drop_pending(spread& own);

/// Raises an alarm when a test has reached the threshold.
void check_alarm(state const& self, server_test& test, time_point now,
                 actions& out);

/// Confirms the alarm of \p test against fresh reports, or clears it.
void check_confirmation(state const& self, service_tests& service,
                        server_test& test, time_point now, actions& out);

void clear_alarm(server_test& test, double kept_nats, std::string_view reason,
                 time_point now, actions& out);

void eject(server_test& test, double score, std::string_view reason,
           time_point now, actions& out);

void start_probation(server_test& test, std::string_view reason, time_point now,
                     actions& out);

/// Readmits or ejects a server in probation when its samples decide.
void check_probation(state const& self, server_test& test, time_point now,
                     actions& out);

} // namespace gooseberrycove::health

#endif
