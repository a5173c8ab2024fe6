#include "health_thread.hpp"

#include "decisions.hpp"
#include <gooseberrycove/duty.hpp>

namespace gooseberrycove::health
{

namespace
{

/// Calls the decision function of each message type.
struct handler
{
    health_duty_state& state;
    time_point now;
    actions& out;

    void operator()(std::monostate) const {}
    void operator()(sample const& observation) const
    {
        on_sample(state, observation, now, out);
    }
    void operator()(server_change const& change) const
    {
        on_server_change(state, change, now, out);
    }
    void operator()(sibling_report const& report) const
    {
        on_sibling_report(state, report, now, out);
    }
    void operator()(report_request const& request) const
    {
        on_report_request(state, request, now, out);
    }
    void operator()(probe_result const& result) const
    {
        on_probe_result(state, result, now, out);
    }
};

/// Sends the results of the decisions. A change that finds admission's ring
/// full is kept and sent again; an update that finds members' ring full is
/// dropped, because a periodic report follows.
void perform(actions& out, std::vector<status_update>& unsent,
             wiring const& rings)
{
    for (pending_status_update& pending : out.status_updates)
    {
        if (pending.is_change)
        {
            unsent.push_back(pending.update);
            if (rings.counts)
                rings.counts->count_health_change(
                    to_string(pending.update.status.health));
        }
        rings.members->try_push(std::move(pending.update));
    }
    while (!unsent.empty() &&
           rings.admission->try_push(status_update(unsent.front())))
        unsent.erase(unsent.begin());
    for (dispatch::probe& probe : out.probes)
        rings.dispatch->try_push(std::move(probe), response_reserve);
    for (event_line const& line : out.log)
        log_info(line);
    out = {};
}

} // namespace

void run(inbox& messages, wiring const& rings)
{
    health_duty_state state;
    actions out;
    std::vector<status_update> unsent;
    run_duty(
        messages,
        [&](message& received, time_point now) {
            std::visit(handler{state, now, out}, received);
        },
        [&](time_point now)
        {
            time_point const next = on_tick(state, now, out);
            perform(out, unsent, rings);
            return next;
        });
}

} // namespace gooseberrycove::health
