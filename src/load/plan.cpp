#include "load/plan.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::load
{

namespace
{

time_point draw_next(arrivals& from, double rate, time_point last)
{
    double const gap = std::exponential_distribution<double>(rate)(from.random);
    return last + duration(static_cast<std::int64_t>(gap * 1e6));
}

std::string draw_id(std::mt19937_64& random)
{
    std::uint64_t const high = random();
    return to_string(request_id{high, random()});
}

evidence::record make_record(plan_state const& state, std::string_view event,
                             job const& what, std::string_view target,
                             time_point now)
{
    evidence::record result;
    result.event = event;
    result.request = what.requests.back();
    result.key = what.key;
    result.stream = state.options.streams[what.stream].name;
    result.address = target;
    result.time_us = evidence::to_micros(now);
    return result;
}

/// Targets take turns; a repeated attempt goes to the next one.
std::string const& target_of(plan_state const& state, std::uint64_t ticket)
{
    return state.options.targets[ticket % state.options.targets.size()];
}

transfer make_transfer(stream const& kind, job const& what,
                       std::uint64_t ticket, std::string_view target)
{
    transfer result;
    result.ticket = ticket;
    result.target = target;
    result.method = kind.method;
    result.path = kind.path;
    result.request = what.requests.back();
    result.key = what.key;
    // A repeated attempt must carry the same body, so it depends on the key.
    if (kind.method == "POST" || kind.method == "PUT" || kind.method == "PATCH")
        result.body = fmt::format(R"({{"work":"{}"}})",
                                  what.key.empty() ? result.request : what.key);
    result.deadline = kind.deadline;
    result.timeout = kind.deadline > duration::zero()
                         ? kind.deadline + response_grace
                         : no_deadline_timeout;
    return result;
}

void send(plan_state& state, job&& what, time_point now, plan_actions& out)
{
    std::uint64_t const ticket = state.next_ticket++;
    std::string const& target = target_of(state, ticket);
    what.requests.push_back(draw_id(state.arrivals[what.stream].random));
    out.records.push_back(make_record(state, "request", what, target, now));
    out.transfers.push_back(make_transfer(state.options.streams[what.stream],
                                          what, ticket, target));
    state.open.emplace(ticket, std::move(what));
}

void send_new(plan_state& state, std::size_t index, time_point now,
              plan_actions& out)
{
    arrivals& from = state.arrivals[index];
    stream const& kind = state.options.streams[index];
    while (from.next <= now && from.next < state.end)
    {
        job next;
        next.stream = index;
        next.planned = from.next;
        if (!kind.repeatable)
            next.key = kind.name + "-" + draw_id(from.random);
        ++state.totals[index].sent;
        send(state, std::move(next), now, out);
        from.next = draw_next(from, kind.rate, from.next);
    }
}

void count_end(totals& to, stream const& kind, verdict const& seen, int status,
               duration latency)
{
    if (seen.result == outcome::not_run)
        ++to.not_run;
    else if (seen.result == outcome::unknown)
        ++to.unknown;
    if (seen.result != outcome::ran)
        return;
    ++to.ran;
    add(to.latency, latency);
    bool const late =
        kind.deadline > duration::zero() && latency > kind.deadline;
    if (status >= 500)
        ++to.failed;
    else if (!late)
        ++to.in_time;
}

} // namespace

plan_state make_plan(plan_options const& options, time_point now)
{
    plan_state state;
    state.options = options;
    state.end = now + options.length;
    state.totals.resize(options.streams.size());
    for (stream const& kind : options.streams)
    {
        arrivals next;
        next.random.seed(options.seed ^ hash_name(kind.name));
        next.next = draw_next(next, kind.rate, now);
        state.arrivals.push_back(next);
    }
    return state;
}

void on_time(plan_state& state, time_point now, plan_actions& out)
{
    for (std::size_t index = 0; index < state.arrivals.size(); ++index)
        send_new(state, index, now, out);
    while (!state.repeats.empty() && state.repeats.begin()->first <= now)
    {
        auto due = state.repeats.extract(state.repeats.begin());
        send(state, std::move(due.mapped()), now, out);
    }
}

void on_result(plan_state& state, transfer_result const& result, time_point now,
               plan_actions& out)
{
    auto ended = state.open.extract(result.ticket);
    if (ended.empty())
        return;
    job& what = ended.mapped();
    stream const& kind = state.options.streams[what.stream];
    totals& sums = state.totals[what.stream];
    verdict const seen = judge(result, what.requests);
    evidence::record response = make_record(
        state, "response", what, target_of(state, result.ticket), now);
    response.status = result.status;
    response.outcome = to_string(seen.result);
    response.server = seen.server;
    response.reason = seen.reason;
    response.complete = seen.complete;
    response.own = seen.own;
    out.records.push_back(std::move(response));
    if (is_wrong(seen))
        ++sums.wrong;
    bool const repeat = seen.result == outcome::unknown && !what.key.empty() &&
                        what.requests.size() <= state.options.retries;
    if (!repeat)
        return count_end(sums, kind, seen, result.status, now - what.planned);
    ++sums.retried;
    state.repeats.emplace(now + retry_pause, std::move(what));
}

time_point next_send(plan_state const& state)
{
    time_point next = time_point::max();
    for (arrivals const& from : state.arrivals)
    {
        if (from.next < state.end)
            next = std::min(next, from.next);
    }
    if (!state.repeats.empty())
        next = std::min(next, state.repeats.begin()->first);
    return next;
}

bool is_finished(plan_state const& state)
{
    return state.open.empty() && next_send(state) == time_point::max();
}

} // namespace gooseberrycove::load
