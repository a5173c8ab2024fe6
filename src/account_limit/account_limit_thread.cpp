#include "account_limit_thread.hpp"

#include "state.hpp"
#include <gooseberrycove/duty.hpp>

#include <algorithm>

namespace gooseberrycove::account_limit
{

namespace
{

/// Interval at which decisions for a full ring are pushed again.
constexpr duration resend_interval = std::chrono::milliseconds(2);
/// The steady clock of a virtual machine may stand still while the machine is
/// suspended. A wall clock that has advanced by this much more shows it.
constexpr duration max_clock_gap = std::chrono::milliseconds(300);

struct handler
{
    limit_state& state;
    time_point now;
    actions& out;

    void operator()(std::monostate const&) const {}
    void operator()(token_request const& request) const
    {
        on_token_request(state, request, now, out);
    }
    void operator()(token_return const& returned) const
    {
        on_token_return(state, returned);
    }
    void operator()(configured const& update) const
    {
        on_configured(state, update);
    }
    void operator()(fleet const& update) const { on_fleet(state, update, now); }
    void operator()(report const& received) const
    {
        on_report(state, received, now, out);
    }
    void operator()(grant const& received) const
    {
        on_grant(state, received, now, out);
    }
};

duration wall_clock_time()
{
    return std::chrono::duration_cast<duration>(
        std::chrono::system_clock::now().time_since_epoch());
}

void perform(actions& out, std::deque<routing::message>& unsent,
             wiring const& links)
{
    for (event_line const& line : out.log)
        log_info(line);
    for (token_decision const& decision : out.decisions)
        unsent.emplace_back(decision);
    // A report or grant that finds the ring full is dropped: the next report
    // repeats its content, and a lost grant only loses tokens.
    for (outgoing_message& item : out.messages)
        std::visit(
            [&](auto& content)
            {
                links.peer->try_push(gooseberrycove::peer::outgoing{
                    std::move(item.address), std::move(content)});
            },
            item.content);
    if (links.counts)
    {
        for (std::string_view const outcome : out.outcomes)
            links.counts->count_account_limit(outcome);
    }
    out = {};
    push_pending(unsent, *links.routing);
}

} // namespace

void run(inbox& messages, wiring const& links)
{
    limit_state state = make_state(links.own_daemon, links.own_address,
                                   clock_now(), links.window);
    actions out;
    std::deque<routing::message> unsent;
    duration wall_offset = wall_clock_time() - clock_now().time_since_epoch();
    run_duty(
        messages,
        [&](message const& received, time_point now)
        {
            duration const offset = wall_clock_time() - now.time_since_epoch();
            if (offset - wall_offset > max_clock_gap)
                on_clock_gap(state, now);
            wall_offset = offset;
            std::visit(handler{state, now, out}, received);
        },
        [&](time_point now)
        {
            time_point const next = on_tick(state, now, out);
            perform(out, unsent, links);
            return unsent.empty() ? next
                                  : std::min(next, now + resend_interval);
        });
}

} // namespace gooseberrycove::account_limit
