#include "transitions.hpp"

#include "decisions.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::health
{

namespace
{

constexpr double min_deviation = 0.3;
/// Deviation assumed without samples, and the number of samples it counts as.
constexpr double prior_deviation = 0.6;
constexpr double prior_deviation_samples = 30;

/// Largest offset, ln 1.5, of a healthy server's log latency against its
/// siblings. Without this allowance a server that is always 1.3 times slower
/// was ejected about once an hour.
constexpr double max_offset = 0.405;

/// A server in probation that got no work is readmitted after this time.
/// Probation admits only repeatable work, so a service whose routes are all
/// non-repeatable would otherwise never get an ejected server back.
constexpr duration idle_probation_timeout = std::chrono::minutes(5);

void reset_tests(server_test& test)
{
    test.partial_failure_sum = {};
    test.outage_sum = {};
    test.slow_sum = {};
    test.slow_latencies.count = 0;
    discard_pending(test.residuals);
}

} // namespace

event_line event_line_for(event event_id, server_test const& test)
{
    event_line line(event_id);
    line.field("server", test.server.server)
        .field("service", test.server.service);
    return line;
}

std::string_view to_string(fault_kind value)
{
    switch (value)
    {
    case fault_kind::partial_failure:
        return "partial_failure";
    case fault_kind::outage:
        return "outage";
    case fault_kind::slow:
        break;
    }
    return "slow";
}

baseline baseline_for(service_tests const& service, std::string_view server,
                      time_point now)
{
    baseline expected = compute_baseline(service.siblings, server, now);
    apply_shared_level(service.shared, expected, now);
    return expected;
}

latency_model latency_model_for(server_test const& test, double sibling_mean)
{
    latency_residuals const& residuals = test.residuals;
    double mean = 0;
    double variance = 0;
    if (residuals.samples > 0)
    {
        mean = residuals.sum / residuals.samples;
        variance = std::max(0.0, residuals.square_sum / residuals.samples -
                                     mean * mean);
    }
    double const weight = residuals.samples + prior_deviation_samples;
    double const pooled =
        (residuals.samples * variance +
         prior_deviation_samples * prior_deviation * prior_deviation) /
        weight;
    double const offset =
        std::clamp(mean * residuals.samples / weight, 0.0, max_offset);
    return {sibling_mean + offset, std::max(min_deviation, std::sqrt(pooled))};
}

void discard_pending(latency_residuals& residuals)
{
    residuals.pending_samples = 0;
    residuals.pending_sum = 0;
    residuals.pending_square_sum = 0;
}

void report_status(server_test& test, time_point now, std::string reason,
                   bool is_change, bool requests_reports, actions& out)
{
    decay_to(test.counts, now, report_time_constant);
    tally const& sum = test.counts.sum;
    server_status status;
    status.server = test.server.server;
    status.service = test.server.service;
    status.slots = test.reported_slots = warmup_slots(test, now);
    status.health = test.health;
    status.score = test.health == health_state::healthy
                       ? std::max({test.partial_failure_sum.nats,
                                   test.outage_sum.nats, test.slow_sum.nats})
                       : test.score;
    status.samples = sum.samples;
    status.failures = sum.failures;
    double const successes = sum.samples - sum.failures;
    status.mean_log_latency = successes > 0 ? sum.log_sum / successes : 0;
    status.sequence = ++test.sequence;
    test.last_report = now;
    out.status_updates.push_back(
        {{std::move(status), std::move(reason), requests_reports}, is_change});
}

void eject(server_test& test, double score, std::string_view reason,
           time_point now, actions& out)
{
    bool const is_relapse =
        test.last_ejection && now - *test.last_ejection < relapse_window;
    test.relapses = is_relapse ? test.relapses + 1 : 0;
    duration const hold = std::min(
        max_hold_down, initial_hold_down * (1 << std::min(test.relapses, 10U)));
    test.last_ejection = now;
    test.hold_until = now + hold;
    test.health = health_state::ejected;
    test.score = score;
    test.active_alarm.reset();
    reset_tests(test);
    out.log.push_back(event_line_for(event::server_ejected, test)
                          .field("reason", reason)
                          .field("nats", score)
                          .field("relapses", test.relapses)
                          .field("hold_ms", hold.count() / 1000));
    report_status(test, now, "ejected: " + std::string(reason), true, false,
                  out);
}

void start_probation(server_test& test, std::string_view reason, time_point now,
                     actions& out)
{
    test.health = health_state::probation;
    test.probation = {0, 0, 0, now};
    reset_tests(test);
    out.log.push_back(
        event_line_for(event::server_probation, test).field("reason", reason));
    report_status(test, now, "probation: " + std::string(reason), true, false,
                  out);
}

void check_probation(health_duty_state const& state, server_test& test,
                     time_point now, actions& out)
{
    if (test.health != health_state::probation)
        return;
    probation_evidence const& evidence = test.probation;
    double const threshold = std::log(1 / state.target_rates.beta);
    double const max_nats =
        std::max(evidence.failure_nats, evidence.latency_nats);
    if (max_nats >= threshold)
    {
        eject(test, test.score + max_nats, "probation_failed", now, out);
        return;
    }
    bool const is_idle =
        evidence.samples == 0 && now - evidence.since > idle_probation_timeout;
    if ((max_nats > -threshold && !is_idle) || test.probe_failed)
        return;
    test.health = health_state::healthy;
    test.score = 0;
    // An idle probation gives no evidence, so the outage test starts at half of
    // the alarm threshold.
    if (is_idle)
        test.outage_sum = {alarm_threshold(state.target_rates) / 2, now, 0, 0};
    out.log.push_back(
        event_line_for(event::server_readmitted, test)
            .field("samples", evidence.samples)
            .field("reason", is_idle ? "no_work_in_probation" : "tested"));
    report_status(test, now, "readmitted", true, false, out);
}

} // namespace gooseberrycove::health
