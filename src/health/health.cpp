#include "decisions.hpp"
#include "transitions.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::health
{

namespace
{

/// Samples after which a server's deviation forgets half of its past.
constexpr double deviation_memory = 1000;
/// Standard deviations of the 95th percentile of a normal distribution.
constexpr double quantile_95 = 1.645;

server_test* find(state& self, std::string_view service,
                  std::string_view server)
{
    auto const tests = self.services.find(service);
    if (tests == self.services.end())
        return nullptr;
    auto const found = tests->second.servers.find(server);
    if (found == tests->second.servers.end() || found->second.gone_since)
        return nullptr;
    return &found->second;
}

bool warming_up(server_test const& test, time_point now)
{
    return now - test.known_since < test.what.warmup;
}

void take_latency(server_test& test, latency_model const& model,
                  double sibling_mean, double log, time_point now)
{
    spread& own = test.deviation;
    if (test.slow.nats <= 0)
        test.slow_run.count = 0;
    add_nats(test.slow, latency_nats(model, log), false, now);
    latency_run& run = test.slow_run;
    run.logs[run.count % run.logs.size()] = static_cast<float>(log);
    ++run.count;
    double const residual = log - sibling_mean;
    own.pending_samples += 1;
    own.pending_sum += residual;
    own.pending_squares += residual * residual;
    if (test.slow.nats > 0)
        return;
    own.samples += std::exchange(own.pending_samples, 0);
    own.sum += std::exchange(own.pending_sum, 0);
    own.squares += std::exchange(own.pending_squares, 0);
    if (own.samples < deviation_memory)
        return;
    own.samples /= 2;
    own.sum /= 2;
    own.squares /= 2;
}

void count(server_test& test, bool failed, double log, time_point now)
{
    decay_to(test.counts, now, report_memory);
    test.counts.sum.samples += 1;
    test.counts.sum.failures += failed ? 1 : 0;
    test.counts.sum.log_sum += failed ? 0 : log;
    test.last_sample = now;
}

/// Whether the sample is evidence, and of what.
std::optional<bool> failed(sample const& what, latency_model const& model)
{
    switch (what.result)
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
    if (static_cast<double>(what.latency.count()) < limit)
        return std::nullopt;
    return true;
}

void take_trial_sample(server_test& test, baseline const& usual,
                       latency_model const& model, bool has_failed, double log)
{
    probation& trial = test.trial;
    ++trial.samples;
    // The trial is over the fault that the server was ejected for. One that
    // failed all of its work has shown with three successes that it does not.
    double const rate = usual.failure_rate;
    trial.failure_nats += failure_nats(
        test.ejected_for == signal::partial_failure ? partial_failure(rate)
                                                    : outage(rate),
        1, has_failed ? 1 : 0);
    if (has_failed)
        return;
    if (test.ejected_for == signal::slow && usual.has_latency)
        trial.latency_nats += latency_nats(model, log);
    else
        trial.latency_nats = std::min(trial.latency_nats, trial.failure_nats);
}

void take_sample(server_test& test, baseline const& usual,
                 latency_model const& model, bool has_failed, double log,
                 time_point now)
{
    double const rate = usual.failure_rate;
    double const failures = has_failed ? 1 : 0;
    if (rate <= most_failure_rate)
    {
        add_nats(test.partial, failure_nats(partial_failure(rate), 1, failures),
                 has_failed, now);
        add_nats(test.dead, failure_nats(outage(rate), 1, failures), has_failed,
                 now);
    }
    if (!has_failed && usual.has_latency && !warming_up(test, now))
        take_latency(test, model, usual.mean_log_latency, log, now);
}

void tick_server(state& self, service_tests& service, server_test& test,
                 time_point now, actions& out)
{
    if (test.gone_since)
        return;
    if (test.health == health_state::ejected && now >= test.hold_until)
        start_probation(test, "hold_down_over", now, out);
    check_confirmation(self, service, test, now, out);
    check_probation(self, test, now, out);
    if (now - test.last_report >= report_period ||
        warm_slots(test, now) != test.shown_slots)
        tell(test, now, "counts", warm_slots(test, now) != test.shown_slots,
             false, out);
    if (now - test.last_sample >= probe_period &&
        now - test.last_probe >= probe_period)
    {
        test.last_probe = now;
        out.probes.push_back(
            {test.what.server, test.what.address, test.what.probe_path});
    }
}

} // namespace

std::uint32_t warm_slots(server_test const& test, time_point now)
{
    if (test.what.slots <= 1 || !warming_up(test, now))
        return test.what.slots;
    auto const share = static_cast<double>((now - test.known_since).count()) /
                       static_cast<double>(test.what.warmup.count());
    return 1 + static_cast<std::uint32_t>(share * (test.what.slots - 1));
}

void on_sample(state& self, sample const& what, time_point now, actions& out)
{
    server_test* const test = find(self, what.service, what.server);
    if (!test)
        return;
    service_tests& service = self.services.find(what.service)->second;
    baseline const usual = usual_of(service, what.server, now);
    latency_model const model = model_of(*test, usual.mean_log_latency);
    std::optional<bool> const has_failed = failed(what, model);
    if (!has_failed)
        return;
    double const log =
        std::log(std::max(1.0, static_cast<double>(what.latency.count())));
    count(*test, *has_failed, log, now);
    if (test->health == health_state::ejected)
        return;
    if (test->health == health_state::probation)
    {
        take_trial_sample(*test, usual, model, *has_failed, log);
        check_probation(self, *test, now, out);
        return;
    }
    // Without siblings there is no baseline and no ejection.
    if (usual.siblings == 0)
        return;
    take_sample(*test, usual, model, *has_failed, log, now);
    check_alarm(self, *test, now, out);
    check_confirmation(self, service, *test, now, out);
}

void on_sibling_report(state& self, sibling_report const& report,
                       time_point now, actions& out)
{
    auto const found = self.services.find(report.status.service);
    if (found == self.services.end())
        return;
    service_tests& service = found->second;
    // Reports about servers homed here are made here.
    if (service.servers.contains(report.status.server))
        return;
    take_report(service.siblings, report.status, report.received);
    for (auto& [name, test] : service.servers)
        check_confirmation(self, service, test, now, out);
}

void on_server_known(state& self, server_change const& what, time_point now,
                     actions& out)
{
    service_tests& service = self.services[what.service];
    auto const [place, is_new] = service.servers.try_emplace(what.server);
    server_test& test = place->second;
    if (what.is_gone)
    {
        if (is_new)
            service.servers.erase(place);
        else
            test.gone_since = now;
        return;
    }
    bool const returned = test.gone_since.has_value();
    bool const slots_changed = test.what.slots != what.slots;
    test.what = what;
    if (!is_new && !returned)
    {
        if (slots_changed)
            tell(test, now, "slots changed", true, false, out);
        return;
    }
    test.known_since = now;
    test.last_sample = test.last_probe = now;
    test.gone_since.reset();
    test.raised.reset();
    // A restart may have cured the fault, but has not shown it.
    if (returned && test.health != health_state::healthy)
        start_probation(test, "returned_while_ejected", now, out);
    else
        tell(test, now, "announced", true, false, out);
}

void on_probe_result(state& self, probe_result const& result, time_point now,
                     actions& out)
{
    for (auto& [service_name, service] : self.services)
    {
        auto const found = service.servers.find(result.server);
        if (found == service.servers.end())
            continue;
        found->second.probe_failed = !result.ok;
        check_probation(self, found->second, now, out);
    }
}

void on_report_request(state& self, report_request const& request,
                       time_point now, actions& out)
{
    auto const found = self.services.find(request.service);
    if (found == self.services.end())
        return;
    for (auto& [server, test] : found->second.servers)
    {
        if (test.gone_since)
            continue;
        tell(test, now, "asked", false, false, out);
        out.verdicts.back().what.is_reply = true;
    }
}

time_point on_tick(state& self, time_point now, actions& out)
{
    duration wait = report_period / 5;
    for (auto& [name, service] : self.services)
    {
        expire_siblings(service.siblings, now);
        for (auto& [server, test] : service.servers)
        {
            tick_server(self, service, test, now, out);
            if (test.raised)
                wait = std::min(wait, test.raised->ask_wait);
        }
        std::erase_if(service.servers,
                      [now](auto const& entry)
                      {
                          auto const& gone = entry.second.gone_since;
                          return gone && now - *gone > relapse_time;
                      });
    }
    // Servers homed here are siblings of each other.
    for (told_verdict const& told : out.verdicts)
    {
        server_status const& status = told.what.status;
        take_report(self.services[status.service].siblings, status, now);
    }
    return now + wait;
}

} // namespace gooseberrycove::health
