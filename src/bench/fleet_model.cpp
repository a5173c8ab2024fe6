#include "fleet_model.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace gooseberrycove::bench
{

namespace
{

constexpr duration step = std::chrono::milliseconds(5);
/// Time of a report from home to home, with its handling at both ends.
constexpr duration report_delay = std::chrono::milliseconds(3);

/// Samples per second at a server in probation, which has at most one request
/// in flight.
constexpr double probation_rate = 10;

duration until_next(health_model& model, double rate)
{
    std::exponential_distribution<double> wait(rate / 1e6);
    return duration(1 + static_cast<duration::rep>(wait(model.random)));
}

health::server_test& test_of(health_model& model, std::size_t home)
{
    return model.homes[home].services.begin()->second.servers.begin()->second;
}

void send(health_model& model, std::size_t from, server_status const& status,
          std::size_t to, duration delay)
{
    if (to != from)
        model.network.push_back({model.now + delay, to, status});
}

/// The other homes answer a request for reports with their present counts.
void answer_request(health_model& model, std::size_t asking)
{
    for (std::size_t from = 0; from < model.homes.size(); ++from)
    {
        if (from == asking)
            continue;
        health::actions out;
        health::on_report_request(model.homes[from], {"service"}, model.now,
                                  out);
        for (health::pending_status_update const& pending : out.status_updates)
            send(model, from, pending.update.status, asking, 2 * report_delay);
    }
}

void handle(health_model& model, std::size_t home, health::actions& out)
{
    for (health::pending_status_update const& pending : out.status_updates)
    {
        // Reports leave when the counts are taken. In a trial with reports
        // that were up to 500 ms old, a fault that all siblings share led to
        // 6 false ejections per healthy server-hour.
        for (std::size_t to = 0; to < model.homes.size(); ++to)
            send(model, home, pending.update.status, to, report_delay);
        if (pending.update.requests_reports)
            answer_request(model, home);
        if (model.on_status_update &&
            (pending.is_change || pending.update.requests_reports))
            model.on_status_update(home, pending.update);
    }
    out = {};
}

void deliver(health_model& model)
{
    std::vector<carried_report> due;
    std::erase_if(model.network,
                  [&](carried_report& report)
                  {
                      if (report.arrives > model.now)
                          return false;
                      due.push_back(std::move(report));
                      return true;
                  });
    for (carried_report const& report : due)
    {
        health::actions out;
        health::on_sibling_report(model.homes[report.to],
                                  {report.status, {1, 1}, report.arrives},
                                  model.now, out);
        handle(model, report.to, out);
    }
}

model_sample draw_sample(health_model& model, std::size_t server)
{
    behaviour const is = model.behave(server, model.now - model.start);
    std::lognormal_distribution<double> latency(std::log(median_latency_us),
                                                log_deviation);
    std::uniform_real_distribution<double> chance(0, 1);
    double took = latency(model.random) * is.slow_factor;
    bool const failed = chance(model.random) < is.fail_rate;
    if (chance(model.random) < is.pauses)
        took *= 10;
    return {server, failed, duration(static_cast<duration::rep>(took)),
            model.now};
}

void take_samples(health_model& model, std::size_t server)
{
    health::server_test const& test = test_of(model, server);
    while (model.next_sample[server] <= model.now)
    {
        bool const trial = test.health == health_state::probation;
        model.next_sample[server] +=
            until_next(model, trial ? probation_rate : model.rate);
        model_sample const drawn = draw_sample(model, server);
        if (model.observe)
            model.observe(drawn);
        // An ejected server gets no work.
        if (test.health == health_state::ejected)
            continue;
        health::actions out;
        health::on_sample(model.homes[server],
                          {model.names[server], "service",
                           drawn.failed ? health::sample_class::failure
                                        : health::sample_class::success,
                           drawn.latency, model.now},
                          model.now, out);
        handle(model, server, out);
    }
}

} // namespace

std::span<deployment const> deployments()
{
    static std::array<deployment, 2> const all{
        deployment{"Kestrel Flight Works", {6, 9, 6, 6}, 4, 40},
        deployment{"Delta Furrow", {8, 8, 8, 8}, 3, 40}};
    return all;
}

health_model make_service(std::size_t servers, double rate, std::uint64_t seed)
{
    health_model model;
    model.random.seed(seed);
    model.rate = rate;
    model.homes.resize(servers);
    model.behave = [](std::size_t, duration) { return behaviour{}; };
    for (std::size_t home = 0; home < servers; ++home)
    {
        model.names.push_back("server" + std::to_string(home));
        model.next_sample.push_back(model.now + until_next(model, rate));
        model.next_tick.push_back(model.now);
        health::actions out;
        health::on_server_change(
            model.homes[home],
            {model.names[home], "service", {}, 4, duration(0), false},
            model.now, out);
        handle(model, home, out);
    }
    return model;
}

void run_until(health_model& model, time_point end,
               std::function<bool()> const& stop)
{
    for (; model.now < end && !stop(); model.now += step)
    {
        deliver(model);
        for (std::size_t home = 0; home < model.homes.size(); ++home)
        {
            take_samples(model, home);
            // The duty's loop ticks after each batch of messages too.
            bool const raised = test_of(model, home).active_alarm.has_value();
            if (model.now < model.next_tick[home] && !raised)
                continue;
            health::actions out;
            model.next_tick[home] =
                health::on_tick(model.homes[home], model.now, out);
            handle(model, home, out);
        }
    }
}

} // namespace gooseberrycove::bench
