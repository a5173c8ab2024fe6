#include "members/lease.hpp"

#include "members/directory.hpp"
#include "members/gossip.hpp"
#include "members/peers.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

/// Peers that are told of a drain at once; enough for a small fleet, and at the
/// target's size drains are rare.
constexpr int drain_messages = 16;

bool is_drained(state const& s, std::string_view server)
{
    return drains_of(s, server) % 2 == 1;
}

server_state effective_state(state const& s, announcement const& what)
{
    return is_drained(s, what.server) ? server_state::draining : what.state;
}

/// Above all sequences seen for the server and not before the time.
std::uint64_t next_sequence(state& s, std::string_view server, time_point now)
{
    auto const passed =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - s.started);
    s.sequence =
        std::max(s.sequence + 1,
                 s.unix_start_ms + static_cast<std::uint64_t>(passed.count()));
    if (server_entry const* const entry = find_entry(s, server))
        s.sequence = std::max(s.sequence, entry->sequence + 1);
    return s.sequence;
}

bool same_content(announcement const& left, announcement const& right)
{
    return left.service == right.service && left.address == right.address &&
           left.slots == right.slots && left.state == right.state &&
           left.connections == right.connections &&
           left.incarnation == right.incarnation;
}

void log_server(event what, announcement const& about, std::string_view reason,
                actions& out)
{
    out.log.push_back(event_line(what)
                          .field("server", about.server)
                          .field("service", about.service)
                          .field("address", about.address)
                          .field("slots", about.slots)
                          .field("reason", reason));
}

/// Tells admission, which tells health: only admission knows the warm-up time
/// of the service.
void tell_admission(state const& s, homed const& here, bool gone, actions& out)
{
    homed_server message{here.what, gone};
    message.details.state = effective_state(s, here.what);
    out.homed.push_back(std::move(message));
}

void announce_change(state& s, homed const& here, time_point now, actions& out)
{
    publish(s, here, now);
    tell_admission(s, here, false, out);
    bool const draining =
        effective_state(s, here.what) == server_state::draining;
    log_server(draining ? event::server_draining : event::server_announced,
               here.what, is_drained(s, here.what.server) ? "operator" : "",
               out);
}

void remove_homed(state& s, std::string_view server, std::string_view reason,
                  time_point now, actions& out)
{
    std::string const name(server);
    std::string const service = find_homed(s, name)->what.service;
    drop_homed(s, name, reason, out);
    publish_gone(s, name, service, now);
}

duration granted_lease(state const& s, duration wanted)
{
    if (wanted <= duration(0))
        return s.limits.default_lease;
    return std::clamp(wanted, s.limits.minimum_lease, s.limits.maximum_lease);
}

/// Time for which an announcement may be held up on its way. A server that
/// starts again under its name has a higher incarnation.
constexpr duration late_limit = std::chrono::minutes(2);

/// Whether the announcement is older than what is known of the server, or of
/// another one that has started at its address since.
bool is_late(state const& s, announcement const& what, time_point now)
{
    // Such a server does not tell one start from another.
    if (what.incarnation == 0)
        return false;
    for (departed const& gone : s.departures)
    {
        if (gone.server == what.server && now - gone.since < late_limit &&
            what.incarnation <= gone.incarnation)
            return true;
    }
    for (homed const& here : s.homes)
    {
        bool const same = here.what.server == what.server;
        if (!same && here.what.address != what.address)
            continue;
        if (here.what.incarnation > what.incarnation)
            return true;
        if (same && here.what.incarnation == what.incarnation &&
            what.sequence != 0 && what.sequence < here.what.sequence)
            return true;
    }
    return false;
}

/// Servers at whose address a later one has started.
std::vector<std::string> replaced_by(state const& s, announcement const& what)
{
    std::vector<std::string> names;
    for (homed const& here : s.homes)
    {
        if (here.what.server != what.server &&
            here.what.address == what.address &&
            here.what.incarnation < what.incarnation)
            names.push_back(here.what.server);
    }
    return names;
}

void note_departure(state& s, announcement const& what, time_point now)
{
    std::erase_if(s.departures,
                  [&](departed const& gone) {
                      return gone.server == what.server ||
                             now - gone.since >= late_limit;
                  });
    homed const* const here = find_homed(s, what.server);
    std::uint64_t const last = here != nullptr ? here->what.incarnation : 0;
    s.departures.push_back(
        {what.server, std::max(last, what.incarnation), now});
}

/// Returns whether the announcement brought something new.
bool store_announcement(state& s, announcement const& what, homed*& here)
{
    here = find_homed(s, what.server);
    if (here == nullptr)
    {
        here = &s.homes.emplace_back();
        here->what = what;
        here->status.server = what.server;
        here->status.service = what.service;
        here->status.slots = what.slots;
        return true;
    }
    server_entry const* const entry = find_entry(s, what.server);
    bool const changed = !same_content(here->what, what) || entry == nullptr ||
                         entry->home != s.self.daemon;
    here->what = what;
    here->status.service = what.service;
    here->status.slots = what.slots;
    return changed;
}

} // namespace

std::uint32_t drains_of(state const& s, std::string_view server)
{
    auto const found = s.drains.find(server);
    return found == s.drains.end() ? 0 : found->second;
}

void learn_drains(state& s, server_record const& record, time_point now,
                  actions& out)
{
    if (record.drain_changes <= drains_of(s, record.server))
        return;
    bool const before = is_drained(s, record.server);
    s.drains[record.server] = record.drain_changes;
    homed const* const here = find_homed(s, record.server);
    if (here != nullptr && before != is_drained(s, record.server))
        announce_change(s, *here, now, out);
    // Spread from here too: a record that loses otherwise goes no further.
    std::uint32_t const id = s.servers.names.find(record.server);
    if (id != no_name && s.servers.entries[id].used)
        add_update(s, subject::server, id);
}

homed* find_homed(state& s, std::string_view server)
{
    for (homed& here : s.homes)
    {
        if (here.what.server == server)
            return &here;
    }
    return nullptr;
}

void publish(state& s, homed const& here, time_point now)
{
    server_record record;
    record.server = here.what.server;
    record.service = here.what.service;
    record.slots = here.what.slots;
    record.state = effective_state(s, here.what);
    record.health = here.status.health;
    record.score = here.status.score;
    record.home = s.self.daemon;
    record.sequence = next_sequence(s, record.server, now);
    add_update(s, subject::server, write_entry(s, record, now));
}

void publish_gone(state& s, std::string_view server, std::string_view service,
                  time_point now)
{
    server_entry const* const entry = find_entry(s, server);
    if (entry != nullptr && entry->home != s.self.daemon)
        return;
    server_record record;
    record.server = server;
    record.service = service;
    record.state = server_state::gone;
    record.home = s.self.daemon;
    record.sequence = next_sequence(s, record.server, now);
    add_update(s, subject::server, write_entry(s, record, now));
}

void drop_homed(state& s, std::string_view server, std::string_view reason,
                actions& out)
{
    for (homed const& here : s.homes)
    {
        if (here.what.server != server)
            continue;
        tell_admission(s, here, true, out);
        log_server(event::server_gone, here.what, reason, out);
    }
    std::string const name(server);
    std::erase_if(s.homes,
                  [&](homed const& here) { return here.what.server == name; });
}

void expire_leases(state& s, time_point now, actions& out)
{
    std::vector<std::string> lapsed;
    for (homed const& here : s.homes)
    {
        if (now >= here.lease_until)
            lapsed.push_back(here.what.server);
    }
    for (std::string const& server : lapsed)
        remove_homed(s, server, "lease lapsed", now, out);
}

void on_announced(state& s, announce_request const& what, time_point now,
                  actions& out)
{
    duration const lease = granted_lease(s, what.details.lease);
    if (what.deliver)
        out.replies.emplace_back([deliver = what.deliver, lease]
                                 { deliver(lease); });
    if (what.details.state == server_state::gone)
    {
        homed const* const leaving = find_homed(s, what.details.server);
        // The end of an earlier start came late.
        if (leaving != nullptr && what.details.incarnation != 0 &&
            leaving->what.incarnation > what.details.incarnation)
            return;
        note_departure(s, what.details, now);
        if (leaving != nullptr)
            remove_homed(s, what.details.server, "announced", now, out);
        return;
    }
    if (is_late(s, what.details, now))
        return;
    for (std::string const& name : replaced_by(s, what.details))
        remove_homed(s, name, "replaced at its address", now, out);
    homed* here = nullptr;
    bool const changed = store_announcement(s, what.details, here);
    here->lease_until = now + lease;
    if (changed)
        announce_change(s, *here, now, out);
}

void on_drain_request(state& s, drain_request const& what, time_point now,
                      actions& out)
{
    homed const* const here = find_homed(s, what.server);
    if (what.deliver)
        out.replies.emplace_back([deliver = what.deliver,
                                  found = here != nullptr] { deliver(found); });
    if (here == nullptr || is_drained(s, what.server) == what.drain)
        return;
    ++s.drains[what.server];
    announce_change(s, *here, now, out);
    // The home may be gone before its next pings.
    push_news(s, drain_messages, out);
}

} // namespace gooseberrycove::members
