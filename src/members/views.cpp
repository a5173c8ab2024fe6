#include "members/directory.hpp"
#include "members/peers.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

constexpr duration load_view_period{100'000};

candidate make_candidate(membership_state const& state, std::uint32_t id)
{
    server_entry const& entry = state.servers.entries[id];
    candidate result;
    result.server = state.servers.server_names.name(id);
    result.slots = entry.slots;
    result.state = entry.state;
    result.health = entry.health;
    result.score = entry.score;
    result.home = entry.home;
    result.is_home_alive = entry.is_home_live && entry.is_home_usable;
    result.in_flight = entry.in_flight;
    result.queued = entry.queued;
    if (entry.load_at != time_point())
        result.load_at = entry.load_at;
    if (peer_record const* const home = find_record(state, entry.home.id))
    {
        result.home_address = home->address;
        result.home_data_centre = home->data_centre;
    }
    return result;
}

service_view_ptr make_view(membership_state const& state,
                           std::uint32_t service_id)
{
    auto view = std::make_shared<service_view>();
    view->service = state.servers.service_names.name(service_id);
    for (std::uint32_t const id : state.servers.by_service[service_id])
    {
        if (state.servers.entries[id].state != server_state::gone)
            view->candidates.push_back(make_candidate(state, id));
    }
    std::ranges::sort(view->candidates, {}, &candidate::server);
    return view;
}

} // namespace

void flush_views(membership_state& state, time_point now, actions& out)
{
    if (now >= state.next_load_views)
    {
        for (std::uint32_t const service : state.load_changed_services)
            mark_changed(state, service);
        state.load_changed_services.clear();
        state.next_load_views = now + load_view_period;
    }
    for (std::uint32_t const service : state.changed_services)
        out.views.push_back(make_view(state, service));
    state.changed_services.clear();
}

} // namespace gooseberrycove::members
