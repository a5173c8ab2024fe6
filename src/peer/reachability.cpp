#include "reachability.hpp"

#include <algorithm>

namespace gooseberrycove::peer
{

send_step next_send_step(reachability& state, std::uint64_t next_number,
                         time_point now)
{
    if (state.confirmed_at != time_point{} &&
        now - state.confirmed_at <= max_confirmation_age)
        return send_step::send;
    if (state.check_number == 0)
    {
        state.check_number = next_number;
        state.check_sent_at = now;
        return send_step::check;
    }
    if (now - state.check_sent_at >= unresponsive_limit)
        return send_step::reconnect;
    return is_check_overdue(state, now) ? send_step::return_not_run
                                        : send_step::wait;
}

void on_check_reply(reachability& state, std::uint64_t number)
{
    if (number != state.check_number)
        return;
    state.check_number = 0;
    on_confirmed(state, state.check_sent_at);
}

void on_confirmed(reachability& state, time_point sent_at)
{
    state.confirmed_at = std::max(state.confirmed_at, sent_at);
}

bool is_check_overdue(reachability const& state, time_point now)
{
    return state.check_number != 0 &&
           now - state.check_sent_at >= check_timeout;
}

} // namespace gooseberrycove::peer
