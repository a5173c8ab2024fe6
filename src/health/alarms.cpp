#include "transitions.hpp"

#include <algorithm>
#include <span>

namespace gooseberrycove::health
{

namespace
{

/// Reports that the siblings are asked for before an alarm is cleared. The
/// first ones cover time before the onset too, and their estimate is rough.
constexpr unsigned asks_to_clear = 3;

cusum& sum_of(server_test& test, signal which)
{
    if (which == signal::slow)
        return test.slow;
    return which == signal::outage ? test.dead : test.partial;
}

std::span<float const> logs_of(latency_run const& run)
{
    return {run.logs.data(), std::min(run.count, run.logs.size())};
}

/// Requests reports and keeps the evidence that they will be compared with.
void ask(server_test& test, std::string_view reason, time_point now,
         actions& out)
{
    alarm& raised = *test.raised;
    raised.asked = now;
    ++raised.asks;
    raised.sum = sum_of(test, raised.what);
    if (raised.what == signal::slow)
        raised.run = test.slow_run;
    tell(test, now, std::string(reason), false, true, out);
}

/// Reports of at least half of the siblings, with more work than the alarm
/// rests on. A baseline from before the onset would confirm an alarm that all
/// siblings share.
bool has_comparison(alarm const& raised, baseline const& usual,
                    fresh_view const& fresh)
{
    if (usual.siblings == 0 || fresh.reported == 0 ||
        fresh.reported * 2 < fresh.siblings)
        return false;
    // Twice the work, because the split of a report at the onset is uncertain.
    return fresh.sum.samples >= 2.0 * raised.sum.samples;
}

/// Evidence of the alarm's samples under the siblings' fresh counts.
double fresh_nats(server_test const& test, fresh_view const& fresh,
                  baseline const& usual)
{
    alarm const& raised = *test.raised;
    if (raised.what == signal::slow)
    {
        latency_model const model =
            model_of(test, fresh_log_latency(fresh, usual.mean_log_latency));
        double nats = 0;
        for (float const log : logs_of(raised.run))
            nats += latency_nats(model, log);
        return nats;
    }
    double const rate = std::max(usual.failure_rate,
                                 fresh_failure_rate(fresh, usual.failure_rate));
    // The tests are not defined above this rate: most work of the siblings
    // fails too, so the fault is shared.
    if (rate > most_failure_rate)
        return 0;
    return failure_nats(raised.what == signal::outage ? outage(rate)
                                                      : partial_failure(rate),
                        raised.sum.samples, raised.sum.failures);
}

/// Waits for more reports, up to confirmation_time.
void wait_or_clear(server_test& test, bool heard, time_point now, actions& out)
{
    alarm& raised = *test.raised;
    if (now - raised.raised >= confirmation_time)
    {
        clear_alarm(test, sum_of(test, raised.what).nats / 2,
                    heard ? "not_confirmed" : "no_sibling_reports", now, out);
        return;
    }
    if (now - raised.asked < raised.ask_wait)
        return;
    raised.ask_wait += first_ask_wait;
    ask(test, "alarm unconfirmed", now, out);
}

} // namespace

void check_alarm(state const& self, server_test& test, time_point now,
                 actions& out)
{
    if (test.raised || test.health != health_state::healthy)
        return;
    double const threshold = alarm_threshold(self.declared);
    for (signal const which :
         {signal::outage, signal::partial_failure, signal::slow})
    {
        cusum const& sum = sum_of(test, which);
        if (sum.nats < threshold)
            continue;
        test.raised = alarm{};
        test.raised->what = which;
        test.raised->raised = now;
        out.log.push_back(line_of(event::server_alarm, test)
                              .field("signal", to_string(which))
                              .field("nats", sum.nats)
                              .field("samples", sum.samples)
                              .field("failures", sum.failures));
        ask(test, "alarm", now, out);
        return;
    }
}

void check_confirmation(state const& self, service_tests& service,
                        server_test& test, time_point now, actions& out)
{
    if (!test.raised)
        return;
    alarm const& raised = *test.raised;
    baseline const usual = usual_of(service, test.what.server, now);
    fresh_view const fresh = fresh_of(service.siblings, test.what.server,
                                      raised.sum.onset, raised.asked);
    if (!has_comparison(raised, usual, fresh))
    {
        wait_or_clear(test, false, now, out);
        return;
    }
    double const threshold = alarm_threshold(self.declared);
    double const nats = fresh_nats(test, fresh, usual);
    if (nats >= threshold)
    {
        test.ejected_for = raised.what;
        eject(test, nats, to_string(raised.what), now, out);
        return;
    }
    // Evidence in between waits for more reports.
    if (nats >= threshold / 2 || raised.asks < asks_to_clear)
    {
        wait_or_clear(test, true, now, out);
        return;
    }
    service.shared = {fresh_failure_rate(fresh, usual.failure_rate),
                      fresh_log_latency(fresh, usual.mean_log_latency),
                      now + report_memory};
    clear_alarm(test, std::max(0.0, nats), "siblings_alike", now, out);
}

void clear_alarm(server_test& test, double kept_nats, std::string_view reason,
                 time_point now, actions& out)
{
    out.log.push_back(line_of(event::alarm_cleared, test)
                          .field("signal", to_string(test.raised->what))
                          .field("kept_nats", kept_nats)
                          .field("reason", reason));
    for (cusum* sum : {&test.partial, &test.dead, &test.slow})
        sum->nats = std::min(sum->nats, kept_nats);
    drop_pending(test.deviation);
    test.raised.reset();
    tell(test, now, "alarm cleared: " + std::string(reason), false, false, out);
}

} // namespace gooseberrycove::health
