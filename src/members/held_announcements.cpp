#include "members/held_announcements.hpp"

#include "members/directory.hpp"
#include "members/lease.hpp"
#include "members/withdrawal.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrycove::members
{

namespace
{

/// Announcements that a partition held up arrive together; a server that still
/// announces itself does so every one to two seconds.
constexpr duration min_confirmation_time{500'000};

/// Whether nothing that this run has yet to read can contradict the
/// announcement.
bool is_confirmed(membership_state& state, announcement const& details,
                  time_point now)
{
    if (state.stored.is_loaded ||
        now - state.started >= max_announcement_delay ||
        details.state != server_state::serving ||
        details.sequence <= max_first_sequence ||
        find_homed_server(state, details.server) != nullptr)
        return true;
    server_entry const* const entry = find_entry(state, details.server);
    return entry != nullptr && entry->state == server_state::serving &&
           entry->announced.incarnation == details.incarnation &&
           details.incarnation != 0;
}

} // namespace

bool hold_announcement(membership_state& state, announcement const& details,
                       time_point now, actions& out)
{
    auto const earlier = std::ranges::find_if(
        state.held_announcements, [&](held_announcement const& held)
        { return held.details.server == details.server; });
    bool const is_known = earlier != state.held_announcements.end();
    bool const is_same_start =
        is_known && earlier->details.incarnation == details.incarnation;
    bool const is_repeated =
        is_same_start && earlier->details.sequence < details.sequence &&
        now - earlier->first_received_at >= min_confirmation_time;
    if (is_confirmed(state, details, now) || is_repeated)
    {
        if (is_known)
            state.held_announcements.erase(earlier);
        return false;
    }
    if (is_known && details.incarnation < earlier->details.incarnation)
        return true;
    if (!is_same_start)
        out.log.push_back(event_line(event::announcement_held)
                              .field("server", details.server)
                              .field("incarnation", details.incarnation)
                              .field("sequence", details.sequence));
    if (!is_known)
        state.held_announcements.push_back({details, now, now});
    else if (!is_same_start)
        *earlier = {details, now, now};
    else if (earlier->details.sequence < details.sequence)
        *earlier = {details, earlier->first_received_at, now};
    return true;
}

void release_announcements(membership_state& state, time_point now,
                           actions& out)
{
    for (held_announcement& held : std::exchange(state.held_announcements, {}))
    {
        if (!is_confirmed(state, held.details, now))
        {
            state.held_announcements.push_back(std::move(held));
            continue;
        }
        if (now - held.last_received_at >=
            granted_lease(state, held.details.lease))
            continue;
        on_announce_request(state, {held.details, {}}, now, out);
    }
}

} // namespace gooseberrycove::members
