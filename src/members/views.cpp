#include "members/directory.hpp"
#include "members/peers.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

constexpr duration load_view_period{100'000};

candidate make_candidate(state const& s, std::uint32_t id)
{
    server_entry const& entry = s.servers.entries[id];
    candidate result;
    result.server = s.servers.names.name(id);
    result.slots = entry.slots;
    result.state = entry.state;
    result.health = entry.health;
    result.score = entry.score;
    result.home = entry.home;
    result.is_home_alive = entry.home_live && entry.home_usable;
    result.in_flight = entry.in_flight;
    result.queued = entry.queued;
    if (peer_record const* const home = find_record(s, entry.home.id))
    {
        result.home_address = home->address;
        result.home_data_centre = home->data_centre;
    }
    return result;
}

service_view_ptr make_view(state const& s, std::uint32_t service)
{
    auto view = std::make_shared<service_view>();
    view->service = s.servers.services.name(service);
    for (std::uint32_t const id : s.servers.by_service[service])
    {
        if (s.servers.entries[id].state != server_state::gone)
            view->candidates.push_back(make_candidate(s, id));
    }
    std::ranges::sort(view->candidates, {}, &candidate::server);
    return view;
}

} // namespace

void flush_views(state& s, time_point now, actions& out)
{
    if (now >= s.next_load_views)
    {
        for (std::uint32_t const service : s.loaded_services)
            mark_changed(s, service);
        s.loaded_services.clear();
        s.next_load_views = now + load_view_period;
    }
    for (std::uint32_t const service : s.changed_services)
        out.views.push_back(make_view(s, service));
    s.changed_services.clear();
}

} // namespace gooseberrycove::members
