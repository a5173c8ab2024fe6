#include "fake_server/work.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::fake_server
{

namespace
{

evidence::record make_record(work_state const& state, std::string_view event,
                             arrival const& what, time_point now)
{
    evidence::record result;
    result.event = event;
    result.request = what.request;
    result.key = what.key;
    result.server = state.limits.name;
    result.service = state.limits.service;
    result.arrived_us = evidence::to_micros(what.at);
    result.time_us = evidence::to_micros(now);
    return result;
}

void refuse(work_state const& state, arrival const& what,
            std::string_view reason, time_point now, actions& out)
{
    out.records.push_back(make_record(state, "refused", what, now));
    out.records.back().reason = reason;
    answer refusal;
    refusal.ticket = what.ticket;
    refusal.kind = answer_kind::refused;
    refusal.request = what.request;
    refusal.reason = reason;
    out.answers.push_back(std::move(refusal));
}

void note_load(work_state& state, time_point now)
{
    state.loads.push_back({now, state.running.size()});
    while (state.loads.size() > 1 &&
           state.loads[1].at <= now - state.faults.load_lag)
        state.loads.pop_front();
}

double cold_start_factor(work_state const& state, time_point now)
{
    duration const age = now - state.started;
    if (age >= state.limits.warmup)
        return 1;
    double const left =
        1 - static_cast<double>(age.count()) /
                static_cast<double>(state.limits.warmup.count());
    return 1 + (cold_factor - 1) * left;
}

duration draw_service_time(work_state& state, faults const& active,
                           time_point now)
{
    // The log's mean is lowered by sigma^2 / 2 so that the time's own mean is
    // the declared one.
    double const mean = static_cast<double>(state.limits.mean.count());
    std::lognormal_distribution<double> times(
        std::log(mean) - service_sigma * service_sigma / 2, service_sigma);
    double const time = times(state.random) * active.slow_factor *
                        cold_start_factor(state, now);
    return duration(static_cast<std::int64_t>(time));
}

bool draw(work_state& state, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(state.random) <
           probability;
}

void start(work_state& state, arrival&& what, faults const& active,
           time_point now, actions& out)
{
    running_work next;
    next.sequence = ++state.sequence;
    next.fails = draw(state, active.fail_rate);
    next.cut = draw(state, active.cut_answer);
    next.late = active.late_answer;
    next.finish_at = now + draw_service_time(state, active, now);
    out.records.push_back(make_record(state, "start", what, now));
    next.what = std::move(what);
    state.running.push_back(std::move(next));
    note_load(state, now);
}

void finish(work_state& state, running_work&& done, time_point now,
            actions& out)
{
    out.records.push_back(make_record(state, "finish", done.what, now));
    out.records.back().status = done.fails ? 500 : 200;
    answer reply;
    reply.ticket = done.what.ticket;
    reply.kind = done.fails ? answer_kind::failed : answer_kind::done;
    reply.cut = done.cut;
    reply.sequence = done.sequence;
    reply.request = std::move(done.what.request);
    reply.filler_size = done.what.filler_size;
    state.held.push_back({now + done.late, std::move(reply)});
    note_load(state, now);
}

bool is_expired(arrival const& what, time_point now)
{
    return what.deadline && *what.deadline <= now;
}

void finish_due(work_state& state, time_point now, actions& out)
{
    // By time of finish, so that one tick orders records as many ticks would.
    std::sort(state.running.begin(), state.running.end(),
              [](running_work const& a, running_work const& b)
              { return a.finish_at < b.finish_at; });
    auto due = state.running.begin();
    while (due != state.running.end() && due->finish_at <= now)
        ++due;
    std::vector<running_work> done(std::move_iterator(state.running.begin()),
                                   std::move_iterator(due));
    state.running.erase(state.running.begin(), due);
    for (running_work& item : done)
        finish(state, std::move(item), now, out);
}

void refuse_expired(work_state& state, time_point now, actions& out)
{
    std::erase_if(state.queue,
                  [&](arrival const& what)
                  {
                      if (!is_expired(what, now))
                          return false;
                      refuse(state, what, "deadline", now, out);
                      return true;
                  });
}

void release_held(work_state& state, time_point now, actions& out)
{
    std::erase_if(state.held,
                  [&](held_answer& item)
                  {
                      if (item.send_at > now)
                          return false;
                      out.answers.push_back(std::move(item.what));
                      return true;
                  });
}

} // namespace

work_state make_work_state(work_limits const& limits, time_point now)
{
    work_state state;
    state.limits = limits;
    state.started = now;
    state.random.seed(limits.seed ^ hash_name(limits.name));
    state.loads.push_back({now, 0});
    return state;
}

void on_arrival(work_state& state, arrival&& what, time_point now, actions& out)
{
    bool const silent = active_faults(state.faults, now).silent_stop;
    if (state.draining)
        return refuse(state, what, "draining", now, out);
    if (!silent && is_expired(what, now))
        return refuse(state, what, "deadline", now, out);
    std::size_t const room = state.limits.slots - state.running.size();
    if (!silent && state.queue.size() >= state.limits.queue + room)
        return refuse(state, what, "queue_full", now, out);
    state.queue.push_back(std::move(what));
    on_tick(state, now, out);
}

void on_closed(work_state& state, std::uint64_t connection, time_point now,
               actions& out)
{
    std::erase_if(state.queue,
                  [&](arrival const& what)
                  {
                      if (what.connection != connection)
                          return false;
                      out.records.push_back(
                          make_record(state, "refused", what, now));
                      out.records.back().reason = "cancelled";
                      return true;
                  });
}

void on_tick(work_state& state, time_point now, actions& out)
{
    finish_due(state, now, out);
    faults const active = active_faults(state.faults, now);
    if (active.silent_stop)
        return;
    refuse_expired(state, now, out);
    while (!state.queue.empty() && state.running.size() < state.limits.slots)
    {
        arrival next = std::move(state.queue.front());
        state.queue.pop_front();
        start(state, std::move(next), active, now, out);
    }
    release_held(state, now, out);
}

void on_faults(work_state& state, faults const& what, time_point now,
               actions& out)
{
    state.faults = what;
    on_tick(state, now, out);
}

void on_drain(work_state& state)
{
    state.draining = true;
}

std::optional<time_point> next_tick(work_state const& state, time_point now)
{
    std::optional<time_point> next;
    auto const consider = [&](time_point at)
    {
        if (!next || at < *next)
            next = at;
    };
    for (running_work const& item : state.running)
        consider(item.finish_at);
    if (active_faults(state.faults, now).silent_stop)
    {
        // Queued work waits for the end of the fault, not for its deadlines.
        if (state.faults.flap > duration::zero())
            consider(next_flap(state.faults, now));
        return next;
    }
    for (arrival const& item : state.queue)
    {
        if (item.deadline)
            consider(*item.deadline);
    }
    for (held_answer const& item : state.held)
        consider(item.send_at);
    return next;
}

bool is_idle(work_state const& state)
{
    return state.queue.empty() && state.running.empty() && state.held.empty();
}

std::size_t reported_in_flight(work_state const& state, time_point now)
{
    std::size_t seen = state.loads.front().in_flight;
    time_point const as_of = now - state.faults.load_lag;
    for (load_sample const& sample : state.loads)
    {
        if (sample.at > as_of)
            break;
        seen = sample.in_flight;
    }
    return static_cast<std::size_t>(
        std::llround(static_cast<double>(seen) * state.faults.load_lie));
}

} // namespace gooseberrycove::fake_server
