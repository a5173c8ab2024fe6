#include "transitions.hpp"

#include "decisions.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::health
{

namespace
{

constexpr double least_deviation = 0.3;
/// Deviation assumed before samples tell, and the samples it stands for.
constexpr double first_deviation = 0.6;
constexpr double first_deviation_samples = 30;

/// Usual slowness that a server may have against its siblings: ln 1.5. Without
/// it a server that is 1.3 times slower was ejected about once an hour.
constexpr double most_offset = 0.405;

/// Time after which a server in probation without any work is readmitted.
/// Without it a service whose routes are all non-repeatable would never get
/// an ejected server back, as probation admits only repeatable work.
constexpr duration idle_probation = std::chrono::minutes(5);

void reset_tests(server_test& test)
{
    test.partial = {};
    test.dead = {};
    test.slow = {};
    test.slow_run.count = 0;
    drop_pending(test.deviation);
}

} // namespace

event_line line_of(event what, server_test const& test)
{
    event_line line(what);
    line.field("server", test.what.server).field("service", test.what.service);
    return line;
}

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

baseline usual_of(service_tests const& service, std::string_view server,
                  time_point now)
{
    baseline usual = baseline_of(service.siblings, server, now);
    apply(service.shared, usual, now);
    return usual;
}

latency_model model_of(server_test const& test, double sibling_mean)
{
    spread const& own = test.deviation;
    double mean = 0;
    double variance = 0;
    if (own.samples > 0)
    {
        mean = own.sum / own.samples;
        variance = std::max(0.0, own.squares / own.samples - mean * mean);
    }
    double const weight = own.samples + first_deviation_samples;
    double const pooled =
        (own.samples * variance +
         first_deviation_samples * first_deviation * first_deviation) /
        weight;
    double const offset =
        std::clamp(mean * own.samples / weight, 0.0, most_offset);
    return {sibling_mean + offset,
            std::max(least_deviation, std::sqrt(pooled))};
}

void drop_pending(spread& own)
{
    own.pending_samples = 0;
    own.pending_sum = 0;
    own.pending_squares = 0;
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
