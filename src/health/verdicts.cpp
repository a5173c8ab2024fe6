#include "verdicts.hpp"

#include "decisions.hpp"

#include <algorithm>
#include <cmath>
#include <span>

namespace gooseberrycove::health
{

namespace
{

constexpr double least_deviation = 0.3;
/// Deviation assumed before samples tell, and the samples it stands for.
constexpr double first_deviation = 0.6;
constexpr double first_deviation_samples = 30;

/// Time after which a server in probation without any work is readmitted.
/// Without it a service whose routes are all non-repeatable would never get
/// an ejected server back, as probation admits only repeatable work.
constexpr duration idle_probation = std::chrono::minutes(5);

cusum& sum_of(server_test& test, signal which)
{
    if (which == signal::slow)
        return test.slow;
    return which == signal::outage ? test.dead : test.partial;
}

void reset_tests(server_test& test)
{
    test.partial = {};
    test.dead = {};
    test.slow = {};
    test.slow_run.count = 0;
    test.deviation.pending_samples = 0;
    test.deviation.pending_sum = 0;
    test.deviation.pending_squares = 0;
}

event_line line_of(event what, server_test const& test)
{
    event_line line(what);
    line.field("server", test.what.server).field("service", test.what.service);
    return line;
}

std::span<float const> logs_of(latency_run const& run)
{
    return {run.logs.data(), std::min(run.count, run.logs.size())};
}

/// Reports of at least half of the siblings, with at least as much work as
/// the alarm rests on. A baseline from before the onset would confirm an
/// alarm that all siblings share.
bool has_comparison(server_test& test, baseline const& usual,
                    fresh_view const& fresh)
{
    if (usual.siblings == 0 || fresh.reported == 0 ||
        fresh.reported * 2 < fresh.siblings)
        return false;
    if (test.raised->what == signal::slow)
        return fresh.mean_log_latency.has_value();
    return fresh.sum.samples >= sum_of(test, test.raised->what).samples;
}

/// Evidence of the alarm's samples under the siblings' fresh counts.
double fresh_nats(server_test& test, fresh_view const& fresh,
                  baseline const& usual)
{
    signal const which = test.raised->what;
    if (which == signal::slow)
    {
        latency_model const model =
            model_of(test, fresh.mean_log_latency.value());
        double nats = 0;
        for (float const log : logs_of(test.slow_run))
            nats += latency_nats(model, log);
        return nats;
    }
    double const rate = std::max(usual.failure_rate,
                                 fresh_failure_rate(fresh, usual.failure_rate));
    // The tests are not defined above this rate: most work of the siblings
    // fails too, so the fault is shared.
    if (rate > most_failure_rate)
        return 0;
    cusum const& sum = sum_of(test, which);
    return failure_nats(which == signal::outage ? outage(rate)
                                                : partial_failure(rate),
                        sum.samples, sum.failures);
}

} // namespace

std::string_view to_string(signal value)
{
    switch (value)
    {
    case signal::partial_failure:
        return "partial_failure";
    case signal::outage:
        return "outage";
    case signal::slow:
        break;
    }
    return "slow";
}

latency_model model_of(server_test const& test, double sibling_mean)
{
    spread const& own = test.deviation;
    double variance = 0;
    if (own.samples > 0)
    {
        double const mean = own.sum / own.samples;
        variance = std::max(0.0, own.squares / own.samples - mean * mean);
    }
    double const pooled =
        (own.samples * variance +
         first_deviation_samples * first_deviation * first_deviation) /
        (own.samples + first_deviation_samples);
    return {sibling_mean, std::max(least_deviation, std::sqrt(pooled))};
}

void tell(server_test& test, time_point now, std::string reason, bool changed,
          bool wants_reports, actions& out)
{
    decay_to(test.counts, now, report_memory);
    tally const& sum = test.counts.sum;
    server_status status;
    status.server = test.what.server;
    status.service = test.what.service;
    status.slots = test.shown_slots = warm_slots(test, now);
    status.health = test.health;
    status.score =
        test.health == health_state::healthy
            ? std::max({test.partial.nats, test.dead.nats, test.slow.nats})
            : test.score;
    status.samples = sum.samples;
    status.failures = sum.failures;
    double const answered = sum.samples - sum.failures;
    status.mean_log_latency = answered > 0 ? sum.log_sum / answered : 0;
    status.sequence = ++test.sequence;
    test.last_report = now;
    out.verdicts.push_back(
        {{std::move(status), std::move(reason), wants_reports}, changed});
}

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
        test.raised = alarm{which, now};
        out.log.push_back(line_of(event::server_alarm, test)
                              .field("signal", to_string(which))
                              .field("nats", sum.nats)
                              .field("samples", sum.samples)
                              .field("failures", sum.failures));
        tell(test, now, "alarm", false, true, out);
        return;
    }
}

void check_confirmation(state const& self, service_tests& service,
                        server_test& test, time_point now, actions& out)
{
    if (!test.raised)
        return;
    cusum const& sum = sum_of(test, test.raised->what);
    baseline const usual = baseline_of(service.siblings, test.what.server, now);
    fresh_view const fresh = fresh_of(service.siblings, test.what.server, usual,
                                      sum.onset, test.raised->raised);
    double const threshold = alarm_threshold(self.declared);
    bool const heard = has_comparison(test, usual, fresh);
    if (heard)
    {
        double const nats = fresh_nats(test, fresh, usual);
        if (nats >= threshold)
        {
            eject(test, nats, to_string(test.raised->what), now, out);
            return;
        }
        // Evidence in between waits for more reports.
        if (nats < threshold / 2)
        {
            clear_alarm(test, std::max(0.0, nats), "siblings_alike", now, out);
            return;
        }
    }
    if (now - test.raised->raised < confirmation_time)
        return;
    clear_alarm(test, sum_of(test, test.raised->what).nats / 2,
                heard ? "not_confirmed" : "no_sibling_reports", now, out);
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
    test.raised.reset();
    tell(test, now, "alarm cleared: " + std::string(reason), false, false, out);
}

void eject(server_test& test, double score, std::string_view reason,
           time_point now, actions& out)
{
    bool const relapse =
        test.last_ejection && now - *test.last_ejection < relapse_time;
    test.relapses = relapse ? test.relapses + 1 : 0;
    duration const hold =
        std::min(longest_hold_down,
                 first_hold_down * (1 << std::min(test.relapses, 10U)));
    test.last_ejection = now;
    test.hold_until = now + hold;
    test.health = health_state::ejected;
    test.score = score;
    test.raised.reset();
    reset_tests(test);
    out.log.push_back(line_of(event::server_ejected, test)
                          .field("reason", reason)
                          .field("nats", score)
                          .field("relapses", test.relapses)
                          .field("hold_ms", hold.count() / 1000));
    tell(test, now, "ejected: " + std::string(reason), true, false, out);
}

void start_probation(server_test& test, std::string_view reason, time_point now,
                     actions& out)
{
    test.health = health_state::probation;
    test.trial = {0, 0, 0, now};
    reset_tests(test);
    out.log.push_back(
        line_of(event::server_probation, test).field("reason", reason));
    tell(test, now, "probation: " + std::string(reason), true, false, out);
}

void check_probation(state const& self, server_test& test, time_point now,
                     actions& out)
{
    if (test.health != health_state::probation)
        return;
    probation const& trial = test.trial;
    double const decided = std::log(1 / self.declared.beta);
    double const worst = std::max(trial.failure_nats, trial.latency_nats);
    if (worst >= decided)
    {
        eject(test, test.score + worst, "probation_failed", now, out);
        return;
    }
    bool const idle = trial.samples == 0 && now - trial.since > idle_probation;
    if ((worst > -decided && !idle) || test.probe_failed)
        return;
    test.health = health_state::healthy;
    test.score = 0;
    // Nothing was learned from an idle probation, so half of the evidence
    // stays in force.
    if (idle)
        test.dead = {alarm_threshold(self.declared) / 2, now, 0, 0};
    out.log.push_back(
        line_of(event::server_readmitted, test)
            .field("samples", trial.samples)
            .field("reason", idle ? "no_work_in_probation" : "tested"));
    tell(test, now, "readmitted", true, false, out);
}

} // namespace gooseberrycove::health
