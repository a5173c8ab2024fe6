#include "admission/decide.hpp"
#include "health/decisions.hpp"
#include "routing/authenticate.hpp"
#include "routing/decisions.hpp"
#include "slope.hpp"

#include <fmt/format.h>

namespace gooseberrycove::capacity
{

namespace
{

time_point const start{std::chrono::hours(1)};

members::service_view view_of(int servers)
{
    members::service_view made;
    made.service = "service";
    for (int i = 0; i < servers; ++i)
    {
        members::candidate one;
        one.server = fmt::format("server-{:04}", i);
        one.slots = 4;
        one.home = {static_cast<std::uint64_t>(i) + 100, 1};
        one.home_address = fmt::format("10.0.0.{}:7300", i % 250);
        one.home_data_centre = fmt::format("dc-{}", i % 3);
        made.candidates.push_back(std::move(one));
    }
    return made;
}

/// One request from arrival to answer.
void route_one(routing::routing_state& state,
               routing::lookup_result const& config, int number)
{
    time_point const now = start + duration(number * 100);
    routing::actions out;
    routing::caller_request from;
    from.id = {9, static_cast<std::uint64_t>(number)};
    from.credentials = "account:secret";
    from.method = "GET";
    from.target = "/x";
    from.received = now;
    routing::on_caller_request(state, std::move(from), config, now, out);
    if (out.home_messages.empty())
        throw std::runtime_error("request not routed");
    auto const& sent =
        std::get<work_request>(out.home_messages.front().content);
    work_result result;
    result.id = sent.id;
    result.attempt = sent.attempt;
    result.run_outcome = outcome::ran;
    result.status = 200;
    result.home = {100, 1};
    result.service_time = std::chrono::milliseconds(20);
    routing::on_result(state, std::move(result),
                       now + std::chrono::milliseconds(21), out);
}

double route_us(int servers)
{
    routing::routing_state state;
    state.own_daemon = {1, 1};
    state.data_centre = "dc-0";
    routing::on_service_view(state, view_of(servers));
    routing::lookup_result config;
    config.account =
        config::account_view{"account", routing::hash_secret("secret"), 0, 0};
    config.route = config::route_view{"route", "service", 0, true,
                                      std::chrono::seconds(2)};
    config.floor_slots = static_cast<std::uint32_t>(servers) * 3;
    return processor_us(5, 2'000, [&](int i) { route_one(state, config, i); });
}

health::health_duty_state health_of(int servers,
                                    std::span<std::string const> names)
{
    health::health_duty_state state;
    health::actions out;
    for (int i = 0; i < servers; ++i)
    {
        health::server_change change;
        change.server = names[static_cast<std::size_t>(i)];
        change.service = "service";
        change.slots = 4;
        health::on_server_change(state, change, start, out);
    }
    for (int i = 0; i < 25; ++i)
    {
        health::sibling_report report;
        report.status.server = fmt::format("sibling-{}", i);
        report.status.service = "service";
        report.status.samples = 100;
        report.home = {static_cast<std::uint64_t>(i) + 10, 1};
        report.received = start;
        health::on_sibling_report(state, report, start, out);
    }
    return state;
}

double sample_us(int servers, std::span<std::string const> names)
{
    health::health_duty_state state = health_of(servers, names);
    health::actions out;
    return processor_us(5, 2'000,
                        [&](int i)
                        {
                            health::sample what;
                            what.server =
                                names[static_cast<std::size_t>(i % servers)];
                            what.service = "service";
                            what.latency =
                                std::chrono::milliseconds(20 + i % 7);
                            what.at = start + duration(i * 1'000);
                            health::on_sample(state, what, what.at, out);
                            out = {};
                        });
}

/// One attempt at the home from arrival to result.
void admit_one(admission::admission_state& state, int number)
{
    time_point const now = start + duration(number * 5'000);
    admission::actions out;
    work_request what;
    what.id = {8, static_cast<std::uint64_t>(number)};
    what.method = "GET";
    what.target = "/x";
    what.account = "account";
    what.service = "service";
    what.server = "server";
    what.deadline = now + std::chrono::seconds(2);
    what.received = now;
    admission::on_work_request(state, std::move(what), now, out);
    if (out.starts.empty())
        throw std::runtime_error("work not started: " +
                                 (out.results.empty()
                                      ? std::to_string(number)
                                      : out.results.front().result.detail));
    dispatch::finished done;
    done.ticket = out.starts.front().ticket;
    done.result = dispatch::result_class::answered;
    done.status = 200;
    done.latency = std::chrono::milliseconds(2);
    admission::on_finished(state, std::move(done),
                           now + std::chrono::milliseconds(2), out);
}

double admit_us()
{
    admission::admission_state state;
    state.own_daemon = {1, 1};
    admission::actions out;
    admission::service_policy policy;
    policy.service = "service";
    policy.priorities[0] = {true, 0.2, std::chrono::seconds(1)};
    admission::on_policy(state, policy, start, out);
    members::homed_server server;
    server.details.server = "server";
    server.details.service = "service";
    server.details.address = "10.0.0.1:80";
    server.details.slots = 4;
    admission::on_homed_server(state, server, start, out);
    return processor_us(5, 2'000, [&](int i) { admit_one(state, i); });
}

} // namespace

std::vector<slope> decision_slopes()
{
    std::vector<point> routes;
    for (int const size : {8, 26, 64, 256})
        routes.push_back({double(size), route_us(size)});
    std::vector<std::string> names;
    names.reserve(64);
    for (int i = 0; i < 64; ++i)
        names.push_back(fmt::format("server-{:04}", i));
    std::vector<point> samples;
    std::vector<point> tests;
    for (int const size : {4, 12, 64})
    {
        samples.push_back({double(size), sample_us(size, names)});
        double const before = heap_bytes();
        health::health_duty_state const state = health_of(size, names);
        tests.push_back({double(size), heap_bytes() - before});
    }
    return {fit("routing a request, with authentication", "us", "candidate",
                routes),
            fit("health sample", "us", "server homed here", samples),
            fit("health state", "bytes", "server homed here", tests),
            constant("admission of an attempt", "us", {admit_us()})};
}

} // namespace gooseberrycove::capacity
