#ifndef GOOSEBERRYCOVE_ADMISSION_ADMISSION_TEST_HPP
#define GOOSEBERRYCOVE_ADMISSION_ADMISSION_TEST_HPP

#include "decide.hpp"

#include <string>
#include <utility>
#include <vector>

namespace gooseberrycove::admission::test
{

using namespace std::chrono_literals;

inline constexpr daemon_ref home{1, 1};
inline constexpr daemon_ref successor{2, 1};

/// One home with server `s1` of service `shop`, priorities 0 to 2.
struct fixture
{
    using ids = std::vector<std::uint64_t>;
    admission_state state;
    time_point now{3600s};
    actions out;
    std::uint64_t next_id = 0;

    explicit fixture(std::uint32_t slots = 1)
    {
        state.own_daemon = home;
        service_policy policy;
        policy.service = "shop";
        policy.priorities[0] = {true, 0.5, 100ms};
        policy.priorities[1] = {true, 0.2, 500ms};
        policy.priorities[2] = {true, 0.1, 1s};
        on_policy(state, policy, now, out);
        announce("s1", slots);
    }
    void announce(
        char const* name, std::uint32_t slots,
        members::server_state announced_state = members::server_state::serving)
    {
        members::homed_server change;
        change.details.server = name;
        change.details.service = "shop";
        change.details.address = "127.0.0.1:1";
        change.details.slots = slots;
        change.details.incarnation = 1;
        change.details.state = announced_state;
        on_homed_server(state, change, now, out);
    }
    work_request make_request(priority_index priority, duration limit = 10s,
                              char const* account = "a")
    {
        work_request request;
        request.id = {0, ++next_id};
        request.account = account;
        request.service = "shop";
        request.priority = priority;
        request.method = "GET";
        request.target = "/";
        request.deadline = now + limit;
        request.received = now;
        request.server = "s1";
        request.home = home;
        request.origin = home;
        return request;
    }
    std::uint64_t submit(work_request request)
    {
        std::uint64_t const id = request.id.low;
        on_work_request(state, std::move(request), now, out);
        return id;
    }
    work_request make_claimed(char const* id, std::uint64_t epoch)
    {
        work_request request = make_request(0);
        request.repeatable = false;
        request.claim = {id, epoch};
        return request;
    }
    /// Ends the oldest request in flight.
    void
    finish(dispatch::result_class result = dispatch::result_class::answered,
           duration latency = 10ms, int status = 200)
    {
        dispatch::finished done;
        done.ticket = state.in_flight.begin()->first;
        done.result = result;
        done.status = status;
        // All requests in flight share one processor, so each takes longer in
        // proportion to their number.
        done.latency = latency * state.in_flight.size();
        now += latency;
        on_finished(state, std::move(done), now, out);
    }
    /// Serves requests one after the other, as samples for the service-time
    /// estimate.
    void serve(int count, priority_index priority, duration latency)
    {
        for (int i = 0; i < count; ++i)
        {
            submit(make_request(priority));
            finish(dispatch::result_class::answered, latency);
        }
    }
    claims::fence_state request_fence(char const* id, std::uint64_t epoch,
                                      daemon_ref requested_home = home)
    {
        claims::fence request;
        request.claim = {id, epoch};
        request.home = requested_home;
        request.sender = successor;
        on_fence(state, request, now, out);
        return out.fence_responses.back().response.state;
    }
    void set_health(health_state health)
    {
        health::status_update update;
        update.status.server = "s1";
        update.status.health = health;
        on_status_update(state, update, now, out);
    }
    error_kind last_kind() const { return out.results.back().result.kind; }
    ids started() const
    {
        ids list;
        for (dispatch::start const& job : out.starts)
            list.push_back(job.request.id.low);
        return list;
    }
};

} // namespace gooseberrycove::admission::test

#endif
