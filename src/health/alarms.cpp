#include "transitions.hpp"

#include <algorithm>
#include <span>

namespace gooseberrycove::health
{

namespace
{

/// Report requests that are sent before an alarm may be cleared. The first
/// reports also cover time before the onset, so their estimate is rough.
constexpr unsigned min_requests_to_clear = 3;

cusum& cusum_of(server_test& test, fault_kind kind)
{
    if (kind == fault_kind::slow)
        return test.slow_sum;
    return kind == fault_kind::outage ? test.outage_sum
                                      : test.partial_failure_sum;
}

std::span<float const> log_latencies_of(latency_samples const& latencies)
{
    return {latencies.log_latencies.data(),
            std::min(latencies.count, latencies.log_latencies.size())};
}

/// Requests reports and keeps the evidence that they are compared with.
void request_reports(server_test& test, std::string_view reason, time_point now,
                     actions& out)
{
    alarm& active = *test.active_alarm;
    active.requested = now;
    ++active.requests;
    active.sum = cusum_of(test, active.kind);
    if (active.kind == fault_kind::slow)
        active.latencies = test.slow_latencies;
    report_status(test, now, std::string(reason), false, true, out);
}

/// Whether at least half of the siblings have reported, with more work than the
/// alarm is based on. A baseline from before the onset would confirm an alarm
/// about a fault that all siblings share.
bool has_comparison(alarm const& active, baseline const& expected,
                    fresh_counts const& fresh)
{
    if (expected.siblings == 0 || fresh.reported == 0 ||
        fresh.reported * 2 < fresh.siblings)
        return false;
    // Twice the work is required, because the part of a report that falls after
    // the onset is estimated.
    return fresh.sum.samples >= 2.0 * active.sum.samples;
}

/// Evidence of the alarm's samples, recomputed with the siblings' fresh counts.
double recompute_nats(server_test const& test, fresh_counts const& fresh,
                      baseline const& expected)
{
    alarm const& active = *test.active_alarm;
    if (active.kind == fault_kind::slow)
    {
        latency_model const model = latency_model_for(
            test, fresh_log_latency(fresh, expected.mean_log_latency));
        double nats = 0;
        for (float const log_latency : log_latencies_of(active.latencies))
            nats += latency_nats(model, log_latency);
        return nats;
    }
    double const rate =
        std::max(expected.failure_rate,
                 fresh_failure_rate(fresh, expected.failure_rate));
    // The tests are not defined above this rate. Most work of the siblings
    // fails too, so the siblings share the fault.
    if (rate > max_failure_rate)
        return 0;
    return failure_nats(active.kind == fault_kind::outage
                            ? outage(rate)
                            : partial_failure(rate),
                        active.sum.samples, active.sum.failures);
}

/// Requests reports again, or clears the alarm after confirmation_timeout.
void wait_or_clear(server_test& test, bool has_reports, time_point now,
                   actions& out)
{
    alarm& active = *test.active_alarm;
    if (now - active.raised_at >= confirmation_timeout)
    {
        clear_alarm(test, cusum_of(test, active.kind).nats / 2,
                    has_reports ? "not_confirmed" : "no_sibling_reports", now,
                    out);
        return;
    }
    if (now - active.requested < active.request_wait)
        return;
    active.request_wait += initial_request_wait;
    request_reports(test, "alarm unconfirmed", now, out);
}

} // namespace

void check_alarm(health_duty_state const& state, server_test& test,
                 time_point now, actions& out)
{
    if (test.active_alarm || test.health != health_state::healthy)
        return;
    double const threshold = alarm_threshold(state.target_rates);
    for (fault_kind const kind :
         {fault_kind::outage, fault_kind::partial_failure, fault_kind::slow})
    {
        cusum const& sum = cusum_of(test, kind);
        if (sum.nats < threshold)
            continue;
        test.active_alarm = alarm{};
        test.active_alarm->kind = kind;
        test.active_alarm->raised_at = now;
        out.log.push_back(event_line_for(event::server_alarm, test)
                              .field("signal", to_string(kind))
                              .field("nats", sum.nats)
                              .field("samples", sum.samples)
                              .field("failures", sum.failures));
        request_reports(test, "alarm", now, out);
        return;
    }
}

void check_confirmation(health_duty_state const& state, service_tests& service,
                        server_test& test, time_point now, actions& out)
{
    if (!test.active_alarm)
        return;
    alarm const& active = *test.active_alarm;
    baseline const expected = baseline_for(service, test.server.server, now);
    fresh_counts const fresh =
        fresh_counts_since(service.siblings, test.server.server,
                           active.sum.onset, active.requested);
    if (!has_comparison(active, expected, fresh))
    {
        wait_or_clear(test, false, now, out);
        return;
    }
    double const threshold = alarm_threshold(state.target_rates);
    double const nats = recompute_nats(test, fresh, expected);
    if (nats >= threshold)
    {
        test.ejected_for = active.kind;
        eject(test, nats, to_string(active.kind), now, out);
        return;
    }
    // Between half the threshold and the threshold, more reports are needed.
    if (nats >= threshold / 2 || active.requests < min_requests_to_clear)
    {
        wait_or_clear(test, true, now, out);
        return;
    }
    service.shared = {fresh_failure_rate(fresh, expected.failure_rate),
                      fresh_log_latency(fresh, expected.mean_log_latency),
                      now + report_time_constant};
    clear_alarm(test, std::max(0.0, nats), "siblings_alike", now, out);
}

void clear_alarm(server_test& test, double kept_nats, std::string_view reason,
                 time_point now, actions& out)
{
    out.log.push_back(event_line_for(event::alarm_cleared, test)
                          .field("signal", to_string(test.active_alarm->kind))
                          .field("kept_nats", kept_nats)
                          .field("reason", reason));
    for (cusum* sum :
         {&test.partial_failure_sum, &test.outage_sum, &test.slow_sum})
        sum->nats = std::min(sum->nats, kept_nats);
    discard_pending(test.residuals);
    test.active_alarm.reset();
    report_status(test, now, "alarm cleared: " + std::string(reason), false,
                  false, out);
}

} // namespace gooseberrycove::health
