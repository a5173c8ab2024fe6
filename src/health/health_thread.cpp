#include "health_thread.hpp"

#include "decisions.hpp"
#include <gooseberrycove/duty.hpp>

namespace gooseberrycove::health
{

namespace
{

/// Performs each message; one overload for each kind.
struct handler
{
    state& self;
    time_point now;
    actions& out;

    void operator()(std::monostate) const {}
    void operator()(sample const& what) const
    {
        on_sample(self, what, now, out);
    }
    void operator()(server_change const& what) const
    {
        on_server_known(self, what, now, out);
    }
    void operator()(sibling_report const& report) const
    {
        on_sibling_report(self, report, now, out);
    }
    void operator()(report_request const& request) const
    {
        on_report_request(self, request, now, out);
    }
    void operator()(probe_result const& result) const
    {
        on_probe_result(self, result, now, out);
    }
};

/// A state that admission could not take is sent again until it fits;
/// members gets the next periodic report anyhow.
void perform(actions& todo, std::vector<status_update>& unsent,
             wiring const& to)
{
    for (told_verdict& told : todo.verdicts)
    {
        if (told.changed)
        {
            unsent.push_back(told.what);
            if (to.counts)
                to.counts->count_health_change(
                    to_string(told.what.status.health));
        }
        to.members->try_push(std::move(told.what));
    }
    while (!unsent.empty() &&
           to.admission->try_push(status_update(unsent.front())))
        unsent.erase(unsent.begin());
    for (dispatch::probe& probe : todo.probes)
        to.dispatch->try_push(std::move(probe), response_reserve);
    for (event_line const& line : todo.log)
        log_info(line);
    todo = {};
}

} // namespace

void run(inbox& messages, wiring const& to)
{
    state self;
    actions todo;
    std::vector<status_update> unsent;
    run_duty(
        messages,
        [&](message& what, time_point now) {
            std::visit(handler{self, now, todo}, what);
        },
        [&](time_point now)
        {
            time_point const next = on_tick(self, now, todo);
            perform(todo, unsent, to);
            return next;
        });
}

} // namespace gooseberrycove::health
