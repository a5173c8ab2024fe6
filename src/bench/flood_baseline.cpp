#include "flood_baseline.hpp"

#include <algorithm>
#include <deque>
#include <queue>
#include <tuple>

namespace gooseberrycove::bench
{

namespace
{

struct fifo_server
{
    std::deque<std::size_t> waiting;
    std::uint32_t in_flight = 0;
};

struct run_end
{
    time_point at;
    std::size_t server = 0;
    std::size_t request = 0;
    time_point begun;

    bool operator>(run_end const& other) const
    {
        return std::tie(at, request) > std::tie(other.at, other.request);
    }
};

struct baseline
{
    service_model const& model;
    run_length const& length;
    std::span<arrival const> arrivals;
    std::vector<fifo_server> servers;
    std::priority_queue<run_end, std::vector<run_end>, std::greater<>> ends;
    tally sum;
};

work_class const& class_of(baseline const& run, std::size_t request)
{
    return run.model.classes[run.arrivals[request].kind];
}

time_point deadline_of(baseline const& run, std::size_t request)
{
    return run.arrivals[request].at + class_of(run, request).timeout;
}

void start_waiting(baseline& run, std::size_t index, time_point now)
{
    fifo_server& server = run.servers[index];
    while (!server.waiting.empty() && server.in_flight < run.model.slots)
    {
        std::size_t const request = server.waiting.front();
        server.waiting.pop_front();
        if (now >= deadline_of(run, request))
        {
            add_request(run.sum, run.length, class_of(run, request),
                        run.arrivals[request], false, now);
            continue;
        }
        ++server.in_flight;
        run.ends.push({std::min(now + run.arrivals[request].size,
                                deadline_of(run, request)),
                       index, request, now});
    }
}

void finish(baseline& run, run_end const& end)
{
    arrival const& request = run.arrivals[end.request];
    bool const answered = end.begun + request.size <= end.at;
    add_usage(run.sum, run.length, request.kind, end.begun, end.at, answered);
    add_request(run.sum, run.length, class_of(run, end.request), request,
                answered, end.at);
    --run.servers[end.server].in_flight;
    start_waiting(run, end.server, end.at);
}

void finish_until(baseline& run, time_point until)
{
    while (!run.ends.empty() && run.ends.top().at <= until)
    {
        run_end const end = run.ends.top();
        run.ends.pop();
        finish(run, end);
    }
}

std::size_t least_requests(baseline const& run)
{
    auto const least = std::ranges::min_element(
        run.servers, {},
        [](fifo_server const& server)
        { return server.in_flight + server.waiting.size(); });
    return static_cast<std::size_t>(least - run.servers.begin());
}

} // namespace

tally run_baseline(service_model const& model, run_length const& length,
                   std::span<arrival const> arrivals)
{
    baseline run{model,    length,
                 arrivals, std::vector<fifo_server>(model.servers),
                 {},       {}};
    for (std::size_t i = 0; i < arrivals.size(); ++i)
    {
        finish_until(run, arrivals[i].at);
        std::size_t const index = least_requests(run);
        run.servers[index].waiting.push_back(i);
        start_waiting(run, index, arrivals[i].at);
    }
    finish_until(run, time_point::max());
    return run.sum;
}

} // namespace gooseberrycove::bench
