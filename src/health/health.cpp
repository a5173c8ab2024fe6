#include "decisions.hpp"
#include "transitions.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::health
{

namespace
{

/// When a server has this many residuals, the weight of the past ones is
/// halved.
constexpr double max_residual_samples = 1000;
/// Standard deviations of the 95th percentile of a normal distribution.
constexpr double quantile_95 = 1.645;

server_test* find_server_test(health_duty_state& state,
                              std::string_view service, std::string_view server)
{
    auto const tests = state.services.find(service);
    if (tests == state.services.end())
        return nullptr;
    auto const found = tests->second.servers.find(server);
    if (found == tests->second.servers.end() || found->second.gone_since)
        return nullptr;
    return &found->second;
}

bool is_warming_up(server_test const& test, time_point now)
{
    return now - test.announced_at < test.server.warmup;
}

void add_latency(server_test& test, latency_model const& model,
                 double sibling_mean, double log_latency, time_point now)
{
    latency_residuals& residuals = test.residuals;
    if (test.slow_sum.nats <= 0)
        test.slow_latencies.count = 0;
    add_nats(test.slow_sum, latency_nats(model, log_latency), false, now);
    latency_samples& latencies = test.slow_latencies;
    latencies.log_latencies[latencies.count % latencies.log_latencies.size()] =
        static_cast<float>(log_latency);
    ++latencies.count;
    double const residual = log_latency - sibling_mean;
    residuals.pending_samples += 1;
    residuals.pending_sum += residual;
    residuals.pending_square_sum += residual * residual;
    if (test.slow_sum.nats > 0)
        return;
    residuals.samples += std::exchange(residuals.pending_samples, 0);
    residuals.sum += std::exchange(residuals.pending_sum, 0);
    residuals.square_sum += std::exchange(residuals.pending_square_sum, 0);
    if (residuals.samples < max_residual_samples)
        return;
    residuals.samples /= 2;
    residuals.sum /= 2;
    residuals.square_sum /= 2;
}

void count_sample(server_test& test, bool has_failed, double log_latency,
                  time_point now)
{
    decay_to(test.counts, now, report_time_constant);
    test.counts.sum.samples += 1;
    test.counts.sum.failures += has_failed ? 1 : 0;
    test.counts.sum.log_sum += has_failed ? 0 : log_latency;
    test.last_sample = now;
}

/// Whether the sample counts as a failure; nothing when it is no evidence.
std::optional<bool> classify_failure(sample const& observation,
                                     latency_model const& model)
{
    switch (observation.result)
    {
    case sample_class::success:
        return false;
    case sample_class::failure:
        return true;
    case sample_class::shed:
        return std::nullopt;
    case sample_class::timeout:
        break;
    }
    double const limit = std::exp(model.mean + quantile_95 * model.deviation);
    if (static_cast<double>(observation.latency.count()) < limit)
        return std::nullopt;
    return true;
}

void add_probation_sample(server_test& test, baseline const& expected,
                          latency_model const& model, bool has_failed,
                          double log_latency)
{
    probation_evidence& evidence = test.probation;
    ++evidence.samples;
    // The evidence is about the fault that the server was ejected for. After an
    // outage three successes are enough to rule it out.
    double const rate = expected.failure_rate;
    evidence.failure_nats += failure_nats(
        test.ejected_for == fault_kind::partial_failure ? partial_failure(rate)
                                                        : outage(rate),
        1, has_failed ? 1 : 0);
    if (has_failed)
        return;
    if (test.ejected_for == fault_kind::slow && expected.has_latency)
        evidence.latency_nats += latency_nats(model, log_latency);
    else
        evidence.latency_nats =
            std::min(evidence.latency_nats, evidence.failure_nats);
}

void add_sample(server_test& test, baseline const& expected,
                latency_model const& model, bool has_failed, double log_latency,
                time_point now)
{
    double const rate = expected.failure_rate;
    double const failures = has_failed ? 1 : 0;
    if (rate <= max_failure_rate)
    {
        add_nats(test.partial_failure_sum,
                 failure_nats(partial_failure(rate), 1, failures), has_failed,
                 now);
        add_nats(test.outage_sum, failure_nats(outage(rate), 1, failures),
                 has_failed, now);
    }
    if (!has_failed && expected.has_latency && !is_warming_up(test, now))
        add_latency(test, model, expected.mean_log_latency, log_latency, now);
}

void tick_server(health_duty_state& state, service_tests& service,
                 server_test& test, time_point now, actions& out)
{
    if (test.gone_since)
        return;
    if (test.health == health_state::ejected && now >= test.hold_until)
        start_probation(test, "hold_down_over", now, out);
    check_confirmation(state, service, test, now, out);
    check_probation(state, test, now, out);
    if (now - test.last_report >= report_period ||
        warmup_slots(test, now) != test.reported_slots)
        report_status(test, now, "counts",
                      warmup_slots(test, now) != test.reported_slots, false,
                      out);
    if (now - test.last_sample >= probe_period &&
        now - test.last_probe >= probe_period)
    {
        test.last_probe = now;
        out.probes.push_back(
            {test.server.server, test.server.address, test.server.probe_path});
    }
}

} // namespace

std::uint32_t warmup_slots(server_test const& test, time_point now)
{
    if (test.server.slots <= 1 || !is_warming_up(test, now))
        return test.server.slots;
    auto const share = static_cast<double>((now - test.announced_at).count()) /
                       static_cast<double>(test.server.warmup.count());
    return 1 + static_cast<std::uint32_t>(share * (test.server.slots - 1));
}

void on_sample(health_duty_state& state, sample const& observation,
               time_point now, actions& out)
{
    server_test* const test =
        find_server_test(state, observation.service, observation.server);
    if (!test)
        return;
    service_tests& service = state.services.find(observation.service)->second;
    baseline const expected = baseline_for(service, observation.server, now);
    latency_model const model =
        latency_model_for(*test, expected.mean_log_latency);
    std::optional<bool> const has_failed = classify_failure(observation, model);
    if (!has_failed)
        return;
    double const log_latency = std::log(
        std::max(1.0, static_cast<double>(observation.latency.count())));
    count_sample(*test, *has_failed, log_latency, now);
    if (test->health == health_state::ejected)
        return;
    if (test->health == health_state::probation)
    {
        add_probation_sample(*test, expected, model, *has_failed, log_latency);
        check_probation(state, *test, now, out);
        return;
    }
    // Without siblings there is no baseline, so no server is ejected.
    if (expected.siblings == 0)
        return;
    add_sample(*test, expected, model, *has_failed, log_latency, now);
    check_alarm(state, *test, now, out);
    check_confirmation(state, service, *test, now, out);
}

void on_sibling_report(health_duty_state& state, sibling_report const& report,
                       time_point now, actions& out)
{
    auto const found = state.services.find(report.status.service);
    if (found == state.services.end())
        return;
    service_tests& service = found->second;
    // Reports about servers homed here are applied in on_tick().
    if (service.servers.contains(report.status.server))
        return;
    apply_report(service.siblings, report.status, report.received);
    for (auto& [name, test] : service.servers)
        check_confirmation(state, service, test, now, out);
}

void on_server_change(health_duty_state& state, server_change const& change,
                      time_point now, actions& out)
{
    service_tests& service = state.services[change.service];
    auto const [entry, is_new] = service.servers.try_emplace(change.server);
    server_test& test = entry->second;
    if (change.is_gone)
    {
        if (is_new)
            service.servers.erase(entry);
        else
            test.gone_since = now;
        return;
    }
    bool const has_returned = test.gone_since.has_value();
    bool const slots_changed = test.server.slots != change.slots;
    test.server = change;
    if (!is_new && !has_returned)
    {
        if (slots_changed)
            report_status(test, now, "slots changed", true, false, out);
        return;
    }
    test.announced_at = now;
    test.last_sample = test.last_probe = now;
    test.gone_since.reset();
    test.active_alarm.reset();
    // A restart may have cured the fault, but there is no evidence of it yet.
    if (has_returned && test.health != health_state::healthy)
        start_probation(test, "returned_while_ejected", now, out);
    else
        report_status(test, now, "announced", true, false, out);
}

void on_probe_result(health_duty_state& state, probe_result const& result,
                     time_point now, actions& out)
{
    for (auto& [service_name, service] : state.services)
    {
        auto const found = service.servers.find(result.server);
        if (found == service.servers.end())
            continue;
        found->second.probe_failed = !result.ok;
        check_probation(state, found->second, now, out);
    }
}

void on_report_request(health_duty_state& state, report_request const& request,
                       time_point now, actions& out)
{
    auto const found = state.services.find(request.service);
    if (found == state.services.end())
        return;
    for (auto& [server, test] : found->second.servers)
    {
        if (test.gone_since)
            continue;
        report_status(test, now, "asked", false, false, out);
        out.status_updates.back().update.is_reply = true;
    }
}

time_point on_tick(health_duty_state& state, time_point now, actions& out)
{
    duration wait = report_period / 5;
    for (auto& [name, service] : state.services)
    {
        expire_siblings(service.siblings, now);
        for (auto& [server, test] : service.servers)
        {
            tick_server(state, service, test, now, out);
            if (test.active_alarm)
                wait = std::min(wait, test.active_alarm->request_wait);
        }
        std::erase_if(service.servers,
                      [now](auto const& entry)
                      {
                          auto const& gone = entry.second.gone_since;
                          return gone && now - *gone > relapse_window;
                      });
    }
    // Servers homed here are siblings of each other, so their own updates are
    // applied as reports.
    for (pending_status_update const& pending : out.status_updates)
    {
        server_status const& status = pending.update.status;
        apply_report(state.services[status.service].siblings, status, now);
    }
    return now + wait;
}

} // namespace gooseberrycove::health
