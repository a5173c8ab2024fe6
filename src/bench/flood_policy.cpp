#include "flood_policy.hpp"

#include <admission/decide.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <tuple>

namespace gooseberrycove::bench
{

namespace
{

/// One way between data centres of a region.
constexpr duration peer_delay{500};
/// From a daemon to the server beside it, one way.
constexpr duration server_delay{50};
/// Non-repeatable work has a connection of its own.
constexpr duration connection_cost{1000};
constexpr duration status_period{500'000};
constexpr int max_homes = 3;

enum class event_kind : std::uint8_t
{
    at_home,    ///< request reaches its home
    at_server,  ///< dispatched work reaches the server
    run_end,    ///< the server ends a run
    at_ingress, ///< a result reaches the daemon of the caller
    tick,
    status
};

struct sim_event
{
    time_point at;
    std::uint64_t order = 0;
    event_kind kind = event_kind::tick;
    std::size_t home = 0;
    std::size_t request = 0;
    std::uint64_t ticket = 0;
    error_kind result = error_kind::none;
    double load = 0;

    bool operator>(sim_event const& other) const
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

struct dispatched
{
    std::uint64_t ticket = 0;
    std::size_t request = 0;
    time_point sent;
    time_point begun;
};

/// A server with a FIFO queue of its own beyond its slots.
struct sim_server
{
    std::deque<dispatched> waiting;
    std::vector<dispatched> in_flight;
};

struct in_progress
{
    std::uint32_t tried = 0;
    int attempts = 0;
};

struct simulation
{
    flood_service const& model;
    run_length const& length;
    std::span<arrival const> arrivals;
    std::mt19937_64 random;
    std::vector<admission::admission_state> homes{};
    std::vector<time_point> next_tick{};
    std::vector<sim_server> servers{};
    /// Load of each server as each daemon knows it.
    std::vector<std::vector<double>> views{};
    std::vector<in_progress> requests{};
    std::priority_queue<sim_event, std::vector<sim_event>, std::greater<>>
        events{};
    std::uint64_t order = 0;
    tally sum{};
};

void schedule(simulation& run, sim_event event)
{
    event.order = ++run.order;
    run.events.push(event);
}

work_class const& class_of(simulation const& run, std::size_t request)
{
    return run.model.classes[run.arrivals[request].kind];
}

time_point deadline_of(simulation const& run, std::size_t request)
{
    return run.arrivals[request].at + class_of(run, request).timeout;
}

std::string server_name(std::size_t index)
{
    return fmt::format("s{}", index);
}

double load_of(admission::admission_state const& home, std::size_t index)
{
    admission::homed_server_state const& server =
        home.servers.at(server_name(index));
    return (server.in_flight + server.queued) / server.limit.slots;
}

void count_lost(simulation& run, std::size_t request, time_point now)
{
    add_request(run.sum, run.length, class_of(run, request),
                run.arrivals[request], false, now);
}

/// The less loaded of two random servers that were not tried.
std::optional<std::size_t> pick_server(simulation& run, std::size_t request)
{
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < run.model.servers; ++i)
    {
        if (!(run.requests[request].tried >> i & 1))
            open.push_back(i);
    }
    if (open.empty())
        return std::nullopt;
    std::ranges::shuffle(open, run.random);
    auto const& view = run.views[run.arrivals[request].ingress];
    if (open.size() > 1 && view[open[1]] < view[open[0]])
        return open[1];
    return open[0];
}

void route(simulation& run, std::size_t request, time_point now)
{
    in_progress& progress = run.requests[request];
    auto const server = pick_server(run, request);
    if (!server || progress.attempts == max_homes ||
        now >= deadline_of(run, request))
    {
        count_lost(run, request, now);
        return;
    }
    ++progress.attempts;
    progress.tried |= 1u << *server;
    std::size_t const ingress = run.arrivals[request].ingress;
    run.views[ingress][*server] += 1.0 / run.model.slots;
    sim_event event;
    event.at = now + (ingress == *server ? duration(0) : peer_delay);
    event.kind = event_kind::at_home;
    event.home = *server;
    event.request = request;
    schedule(run, event);
}

work_request make_work(simulation const& run, std::size_t request,
                       std::size_t home)
{
    arrival const& from = run.arrivals[request];
    work_class const& what = class_of(run, request);
    work_request made;
    made.id = {0, request};
    made.attempt = static_cast<std::uint32_t>(run.requests[request].attempts);
    made.account = fmt::format("account{}", from.account);
    made.service = run.model.service;
    made.priority = from.kind;
    made.repeatable = what.repeatable;
    made.method = "POST";
    made.target = "/";
    made.deadline = deadline_of(run, request);
    made.received = from.at;
    made.server = server_name(home);
    made.has_other_homes = run.requests[request].attempts < max_homes;
    made.home = run.homes[home].own_daemon;
    if (!what.repeatable)
        made.claim = {fmt::format("claim{}", request), 1};
    return made;
}

void begin_runs(simulation& run, std::size_t index, time_point now)
{
    sim_server& server = run.servers[index];
    while (!server.waiting.empty() && server.in_flight.size() < run.model.slots)
    {
        dispatched job = server.waiting.front();
        server.waiting.pop_front();
        job.begun = now;
        server.in_flight.push_back(job);
        sim_event event;
        event.at = std::max(now, std::min(now + run.arrivals[job.request].size,
                                          deadline_of(run, job.request)));
        event.kind = event_kind::run_end;
        event.home = index;
        event.ticket = job.ticket;
        schedule(run, event);
    }
}

void perform(simulation& run, std::size_t home, time_point now,
             admission::actions& todo)
{
    for (dispatch::start const& job : todo.starts)
    {
        sim_event event;
        event.at = now + server_delay +
                   (job.request.repeatable ? duration(0) : connection_cost);
        event.kind = event_kind::at_server;
        event.home = home;
        event.request = job.request.id.low;
        event.ticket = job.ticket;
        schedule(run, event);
    }
    for (admission::addressed_result const& made : todo.results)
    {
        std::size_t const request = made.result.id.low;
        sim_event event;
        event.at = now + (run.arrivals[request].ingress == home ? duration(0)
                                                                : peer_delay);
        event.kind = event_kind::at_ingress;
        event.home = home;
        event.request = request;
        event.result = made.result.kind;
        event.load = load_of(run.homes[home], home);
        schedule(run, event);
    }
    todo = {};
    time_point const next = on_tick(run.homes[home], now, todo);
    if (!todo.starts.empty() || !todo.results.empty())
    {
        perform(run, home, now, todo);
        return;
    }
    // Like the duty's loop, which waits for the next tick or a message.
    if (run.next_tick[home] > now && run.next_tick[home] <= next)
        return;
    run.next_tick[home] = next;
    sim_event event;
    event.at = next;
    event.kind = event_kind::tick;
    event.home = home;
    schedule(run, event);
}

void end_run(simulation& run, sim_event const& event)
{
    sim_server& server = run.servers[event.home];
    auto const place =
        std::ranges::find(server.in_flight, event.ticket, &dispatched::ticket);
    dispatched const job = *place;
    server.in_flight.erase(place);
    arrival const& request = run.arrivals[job.request];
    bool const answered = job.begun + request.size <= event.at;
    add_usage(run.sum, run.length, request.kind, job.begun, event.at, answered);
    dispatch::finished done;
    done.ticket = job.ticket;
    done.result = answered ? dispatch::result_class::answered
                           : dispatch::result_class::timed_out;
    done.status = answered ? 200 : 0;
    done.latency = event.at + server_delay - job.sent;
    begin_runs(run, event.home, event.at);
    admission::actions todo;
    on_finished(run.homes[event.home], std::move(done), event.at, todo);
    perform(run, event.home, event.at, todo);
}

void take_result(simulation& run, sim_event const& event)
{
    arrival const& request = run.arrivals[event.request];
    run.views[request.ingress][event.home] = event.load;
    if (event.result == error_kind::none)
        add_request(run.sum, run.length, class_of(run, event.request), request,
                    true, event.at);
    else if (error_response_for(event.result).run_outcome == outcome::not_run)
        route(run, event.request, event.at);
    else
        count_lost(run, event.request, event.at);
}

void spread_statuses(simulation& run, sim_event const& event)
{
    for (std::size_t i = 0; i < run.model.servers; ++i)
    {
        for (auto& view : run.views)
            view[i] = load_of(run.homes[i], i);
    }
    sim_event next = event;
    next.at += status_period;
    if (next.at < run_start + run.length.normal + run.length.flood)
        schedule(run, next);
}

void handle(simulation& run, sim_event const& event)
{
    admission::actions todo;
    switch (event.kind)
    {
    case event_kind::at_home:
        on_work_request(run.homes[event.home],
                        make_work(run, event.request, event.home), event.at,
                        todo);
        perform(run, event.home, event.at, todo);
        break;
    case event_kind::at_server:
        run.servers[event.home].waiting.push_back(
            {event.ticket, event.request, event.at, event.at});
        begin_runs(run, event.home, event.at);
        break;
    case event_kind::run_end:
        end_run(run, event);
        break;
    case event_kind::at_ingress:
        take_result(run, event);
        break;
    case event_kind::tick:
        perform(run, event.home, event.at, todo);
        break;
    case event_kind::status:
        spread_statuses(run, event);
        break;
    }
}

void handle_until(simulation& run, time_point until)
{
    while (!run.events.empty() && run.events.top().at <= until)
    {
        sim_event const event = run.events.top();
        run.events.pop();
        handle(run, event);
    }
}

admission::admission_state make_home(flood_service const& model,
                                     std::size_t index)
{
    admission::admission_state home;
    home.own_daemon = {index + 1, 1};
    admission::service_policy policy;
    policy.service = model.service;
    for (std::size_t i = 0; i < class_count; ++i)
        policy.priorities[i] = {true, model.classes[i].min_share,
                                model.classes[i].target};
    admission::actions none;
    on_policy(home, policy, run_start, none);
    members::homed_server server;
    server.details.server = server_name(index);
    server.details.service = model.service;
    server.details.slots = model.slots;
    on_homed_server(home, server, run_start, none);
    return home;
}

} // namespace

tally run_policy(flood_service const& model, run_length const& length,
                 std::span<arrival const> arrivals, std::uint64_t seed)
{
    simulation run{model, length, arrivals, std::mt19937_64(seed)};
    run.next_tick.resize(model.servers);
    run.servers.resize(model.servers);
    run.views.assign(model.servers, std::vector<double>(model.servers, 0.0));
    run.requests.resize(arrivals.size());
    for (std::size_t i = 0; i < model.servers; ++i)
        run.homes.push_back(make_home(model, i));
    sim_event status;
    status.at = run_start;
    status.kind = event_kind::status;
    schedule(run, status);
    for (std::size_t i = 0; i < arrivals.size(); ++i)
    {
        handle_until(run, arrivals[i].at);
        route(run, i, arrivals[i].at);
    }
    // Longer than any timeout, so that every request has ended.
    handle_until(run, arrivals.back().at + std::chrono::seconds(90));
    return run.sum;
}

} // namespace gooseberrycove::bench
