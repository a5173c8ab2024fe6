#include "fake_server/work.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::fake_server
{

namespace
{

evidence::record make_record(work_state const& state, std::string_view event,
                             arrival const& work, time_point now)
{
    evidence::record result;
    result.event = event;
    result.request = work.request_id;
    result.key = work.key;
    result.server = state.limits.name;
    result.service = state.limits.service;
    result.arrived_us = evidence::to_micros(work.at);
    result.time_us = evidence::to_micros(now);
    return result;
}

void refuse(work_state const& state, arrival const& work,
            std::string_view reason, time_point now, actions& out)
{
    out.records.push_back(make_record(state, "refused", work, now));
    out.records.back().reason = reason;
    response refusal;
    refusal.ticket = work.ticket;
    refusal.kind = response_kind::refused;
    refusal.request_id = work.request_id;
    refusal.reason = reason;
    out.responses.push_back(std::move(refusal));
}

void record_load(work_state& state, time_point now)
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
    double const remaining_share =
        1 - static_cast<double>(age.count()) /
                static_cast<double>(state.limits.warmup.count());
    return 1 + (cold_factor - 1) * remaining_share;
}

duration draw_service_time(work_state& state, faults const& active,
                           time_point now)
{
    // The mean of the logarithm is lowered by sigma^2 / 2 so that the service
    // times have the configured mean.
    double const mean = static_cast<double>(state.limits.mean.count());
    std::lognormal_distribution<double> times(
        std::log(mean) - service_sigma * service_sigma / 2, service_sigma);
    double const time = times(state.random_engine) * active.slow_factor *
                        cold_start_factor(state, now);
    return duration(static_cast<std::int64_t>(time));
}

bool draw_with_probability(work_state& state, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(state.random_engine) <
           probability;
}

void start_work(work_state& state, arrival&& work, faults const& active,
                time_point now, actions& out)
{
    running_work next;
    next.sequence = ++state.last_sequence;
    next.will_fail = draw_with_probability(state, active.fail_rate);
    next.is_truncated = draw_with_probability(state, active.truncated_share);
    next.response_delay = active.response_delay;
    if (draw_with_probability(state, active.second_share))
        next.second = active.second;
    next.second_delay = active.second_delay;
    next.finish_at = now + draw_service_time(state, active, now);
    out.records.push_back(make_record(state, "start", work, now));
    next.work = std::move(work);
    state.running.push_back(std::move(next));
    record_load(state, now);
}

void finish_work(work_state& state, running_work&& done, time_point now,
                 actions& out)
{
    out.records.push_back(make_record(state, "finish", done.work, now));
    out.records.back().status = done.will_fail ? 500 : 200;
    response result;
    result.ticket = done.work.ticket;
    result.kind = done.will_fail ? response_kind::failed : response_kind::done;
    result.is_truncated = done.is_truncated;
    result.sequence = done.sequence;
    result.request_id = std::move(done.work.request_id);
    result.filler_size = done.work.filler_size;
    result.second = done.second;
    state.delayed_responses.push_back(
        {now + done.response_delay, std::move(result), done.second_delay});
    record_load(state, now);
}

bool is_expired(arrival const& work, time_point now)
{
    return work.deadline && *work.deadline <= now;
}

void finish_due(work_state& state, time_point now, actions& out)
{
    // Sorted by finish time, so that the order of the records does not depend
    // on how many items one tick finishes.
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
        finish_work(state, std::move(item), now, out);
}

void refuse_expired(work_state& state, time_point now, actions& out)
{
    std::erase_if(state.queue,
                  [&](arrival const& work)
                  {
                      if (!is_expired(work, now))
                          return false;
                      refuse(state, work, "deadline", now, out);
                      return true;
                  });
}

void delay_second_parts(work_state& state, delayed_response const& first,
                        time_point now)
{
    if (!first.content.second)
        return;
    time_point send_at = now + first.second_delay;
    for (std::size_t i = 0; i < part_count(*first.content.second); ++i)
    {
        state.delayed_second_parts.push_back(
            {send_at, {first.content.ticket, i}});
        send_at += second_part_pause;
    }
}

void release_delayed_responses(work_state& state, time_point now, actions& out)
{
    std::erase_if(state.delayed_responses,
                  [&](delayed_response& item)
                  {
                      if (item.send_at > now)
                          return false;
                      delay_second_parts(state, item, now);
                      out.responses.push_back(std::move(item.content));
                      return true;
                  });
}

void release_second_parts(work_state& state, time_point now, actions& out)
{
    std::erase_if(state.delayed_second_parts,
                  [&](delayed_second_part const& item)
                  {
                      if (item.send_at > now)
                          return false;
                      out.second_parts.push_back(item.content);
                      return true;
                  });
}

} // namespace

std::size_t part_count(second_kind kind)
{
    return kind == second_kind::split ? 2 : 1;
}

work_state make_work_state(work_limits const& limits, time_point now)
{
    work_state state;
    state.limits = limits;
    state.started = now;
    state.random_engine.seed(limits.seed ^ hash_name(limits.name));
    state.loads.push_back({now, 0});
    return state;
}

void on_arrival(work_state& state, arrival&& work, time_point now, actions& out)
{
    bool const is_unresponsive =
        active_faults(state.faults, now).is_unresponsive;
    if (state.is_draining)
        return refuse(state, work, "draining", now, out);
    if (!is_unresponsive && is_expired(work, now))
        return refuse(state, work, "deadline", now, out);
    std::size_t const free_slots = state.limits.slots - state.running.size();
    if (!is_unresponsive &&
        state.queue.size() >= state.limits.queue + free_slots)
        return refuse(state, work, "queue_full", now, out);
    state.queue.push_back(std::move(work));
    on_tick(state, now, out);
}

void on_closed(work_state& state, std::uint64_t connection, time_point now,
               actions& out)
{
    std::erase_if(state.queue,
                  [&](arrival const& work)
                  {
                      if (work.connection != connection)
                          return false;
                      out.records.push_back(
                          make_record(state, "refused", work, now));
                      out.records.back().reason = "cancelled";
                      return true;
                  });
}

void on_tick(work_state& state, time_point now, actions& out)
{
    finish_due(state, now, out);
    faults const active = active_faults(state.faults, now);
    if (active.is_unresponsive)
        return;
    refuse_expired(state, now, out);
    while (!state.queue.empty() && state.running.size() < state.limits.slots)
    {
        arrival next = std::move(state.queue.front());
        state.queue.pop_front();
        start_work(state, std::move(next), active, now, out);
    }
    release_delayed_responses(state, now, out);
    release_second_parts(state, now, out);
}

void on_faults(work_state& state, faults const& new_faults, time_point now,
               actions& out)
{
    state.faults = new_faults;
    on_tick(state, now, out);
}

void on_drain(work_state& state)
{
    state.is_draining = true;
}

std::optional<time_point> next_tick(work_state const& state, time_point now)
{
    std::optional<time_point> next;
    auto const consider = [&](time_point time)
    {
        if (!next || time < *next)
            next = time;
    };
    for (running_work const& item : state.running)
        consider(item.finish_at);
    if (active_faults(state.faults, now).is_unresponsive)
    {
        // Queued work is handled when the fault ends; its deadlines set no
        // tick.
        if (state.faults.flap > duration::zero())
            consider(next_flap(state.faults, now));
        return next;
    }
    for (arrival const& item : state.queue)
    {
        if (item.deadline)
            consider(*item.deadline);
    }
    for (delayed_response const& item : state.delayed_responses)
        consider(item.send_at);
    for (delayed_second_part const& item : state.delayed_second_parts)
        consider(item.send_at);
    return next;
}

bool is_idle(work_state const& state)
{
    return state.queue.empty() && state.running.empty() &&
           state.delayed_responses.empty();
}

std::size_t reported_in_flight(work_state const& state, time_point now)
{
    std::size_t in_flight = state.loads.front().in_flight;
    time_point const reported_time = now - state.faults.load_lag;
    for (load_sample const& sample : state.loads)
    {
        if (sample.at > reported_time)
            break;
        in_flight = sample.in_flight;
    }
    return static_cast<std::size_t>(std::llround(
        static_cast<double>(in_flight) * state.faults.reported_load_factor));
}

} // namespace gooseberrycove::fake_server
