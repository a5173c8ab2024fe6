#include "load/plan.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::load
{

namespace
{

time_point draw_next(arrival_process& process, double rate, time_point last)
{
    double const gap_s =
        std::exponential_distribution<double>(rate)(process.random);
    return last + duration(static_cast<std::int64_t>(gap_s * 1e6));
}

std::string draw_id(std::mt19937_64& random)
{
    std::uint64_t const high = random();
    return to_string(request_id{high, random()});
}

evidence::record make_record(plan_state const& state, std::string_view event,
                             work_item const& item, std::string_view target,
                             time_point now)
{
    evidence::record result;
    result.event = event;
    result.request = item.request_ids.back();
    result.key = item.idempotency_key;
    result.stream = state.options.streams[item.stream_index].name;
    result.address = target;
    result.time_us = evidence::to_micros(now);
    return result;
}

/// Selects targets in rotation by ticket, so that consecutive transfers go to
/// different targets.
std::string const& target_of(plan_state const& state, std::uint64_t ticket)
{
    return state.options.targets[ticket % state.options.targets.size()];
}

transfer make_transfer(stream const& source, work_item const& item,
                       std::uint64_t ticket, std::string_view target)
{
    transfer result;
    result.ticket = ticket;
    result.target = target;
    result.method = source.method;
    result.path = source.path;
    result.request_id = item.request_ids.back();
    result.idempotency_key = item.idempotency_key;
    // A retry must have the same body, so the body is derived from the key.
    if (source.method == "POST" || source.method == "PUT" ||
        source.method == "PATCH")
        result.body =
            fmt::format(R"({{"work":"{}"}})", item.idempotency_key.empty()
                                                  ? result.request_id
                                                  : item.idempotency_key);
    result.deadline = source.deadline;
    result.timeout = source.deadline > duration::zero()
                         ? source.deadline + response_grace
                         : no_deadline_timeout;
    return result;
}

void send(plan_state& state, work_item&& item, time_point now,
          plan_actions& actions)
{
    std::uint64_t const ticket = state.next_ticket++;
    std::string const& target = target_of(state, ticket);
    item.request_ids.push_back(
        draw_id(state.arrivals[item.stream_index].random));
    actions.records.push_back(make_record(state, "request", item, target, now));
    actions.transfers.push_back(make_transfer(
        state.options.streams[item.stream_index], item, ticket, target));
    state.open_work.emplace(ticket, std::move(item));
}

void send_new(plan_state& state, std::size_t index, time_point now,
              plan_actions& actions)
{
    arrival_process& process = state.arrivals[index];
    stream const& source = state.options.streams[index];
    while (process.next_arrival <= now && process.next_arrival < state.end)
    {
        work_item next;
        next.stream_index = index;
        next.planned_arrival = process.next_arrival;
        if (!source.repeatable)
            next.idempotency_key = source.name + "-" + draw_id(process.random);
        ++state.totals[index].sent;
        send(state, std::move(next), now, actions);
        process.next_arrival =
            draw_next(process, source.rate, process.next_arrival);
    }
}

void count_outcome(stream_totals& totals, stream const& source,
                   attempt_result const& attempt, int status, duration latency)
{
    if (attempt.run_outcome == outcome::not_run)
        ++totals.not_run;
    else if (attempt.run_outcome == outcome::unknown)
        ++totals.unknown;
    if (attempt.run_outcome != outcome::ran)
        return;
    ++totals.ran;
    add(totals.latency, latency);
    bool const is_late =
        source.deadline > duration::zero() && latency > source.deadline;
    if (status >= 500)
        ++totals.failed;
    else if (!is_late)
        ++totals.in_time;
}

/// Time of the next attempt, or nothing when the work has ended. Counts
/// the attempt as moved or retried.
std::optional<time_point> next_attempt_time(plan_state& state, work_item& item,
                                            transfer_result const& result,
                                            attempt_result const& attempt,
                                            time_point now)
{
    plan_options const& options = state.options;
    stream_totals& totals = state.totals[item.stream_index];
    if (result.end == transfer_end::not_sent)
    {
        ++item.unreached_targets;
        if (!options.reconnects ||
            item.unreached_targets >= options.targets.size())
            return std::nullopt;
        ++totals.moved;
        return now;
    }
    item.unreached_targets = 0;
    ++item.attempts_sent;
    if (attempt.run_outcome != outcome::unknown ||
        item.idempotency_key.empty() ||
        item.attempts_sent > options.max_retries)
        return std::nullopt;
    ++totals.retried;
    return now + retry_delay;
}

} // namespace

plan_state make_plan(plan_options const& options, time_point now)
{
    plan_state state;
    state.options = options;
    state.end = now + options.run_length;
    state.totals.resize(options.streams.size());
    for (stream const& source : options.streams)
    {
        arrival_process next;
        next.random.seed(options.seed ^ hash_name(source.name));
        next.next_arrival = draw_next(next, source.rate, now);
        state.arrivals.push_back(next);
    }
    return state;
}

void on_time(plan_state& state, time_point now, plan_actions& actions)
{
    for (std::size_t index = 0; index < state.arrivals.size(); ++index)
        send_new(state, index, now, actions);
    while (!state.pending_retries.empty() &&
           state.pending_retries.begin()->first <= now)
    {
        auto due = state.pending_retries.extract(state.pending_retries.begin());
        send(state, std::move(due.mapped()), now, actions);
    }
}

void on_result(plan_state& state, transfer_result const& result, time_point now,
               plan_actions& actions)
{
    auto ended_work = state.open_work.extract(result.ticket);
    if (ended_work.empty())
        return;
    work_item& item = ended_work.mapped();
    stream const& source = state.options.streams[item.stream_index];
    stream_totals& totals = state.totals[item.stream_index];
    attempt_result const attempt = classify_attempt(result, item.request_ids);
    evidence::record response = make_record(
        state, "response", item, target_of(state, result.ticket), now);
    response.status = result.status;
    response.outcome = to_string(attempt.run_outcome);
    response.server = attempt.server;
    response.reason = attempt.reason;
    response.complete = attempt.is_complete;
    response.own = attempt.is_own_response;
    actions.records.push_back(std::move(response));
    if (is_wrong(attempt))
        ++totals.wrong;
    if (auto const at = next_attempt_time(state, item, result, attempt, now))
        state.pending_retries.emplace(*at, std::move(item));
    else
        count_outcome(totals, source, attempt, result.status,
                      now - item.planned_arrival);
}

time_point next_send_time(plan_state const& state)
{
    time_point next = time_point::max();
    for (arrival_process const& process : state.arrivals)
    {
        if (process.next_arrival < state.end)
            next = std::min(next, process.next_arrival);
    }
    if (!state.pending_retries.empty())
        next = std::min(next, state.pending_retries.begin()->first);
    return next;
}

bool is_finished(plan_state const& state)
{
    return state.open_work.empty() &&
           next_send_time(state) == time_point::max();
}

} // namespace gooseberrycove::load
