#include "members/lease.hpp"

#include "members/directory.hpp"
#include "members/gossip.hpp"
#include "members/peers.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

/// Peers that receive a drain at once. 16 covers a small fleet; at the target
/// size drains are rare.
constexpr int max_drain_messages = 16;

bool is_drained(membership_state const& state, std::string_view server)
{
    return drain_changes_of(state, server) % 2 == 1;
}

server_state effective_state(membership_state const& state,
                             homed_server_state const& homed)
{
    return homed.is_leaving || is_drained(state, homed.details.server)
               ? server_state::draining
               : homed.details.state;
}

/// Returns a sequence above every one received for the server and not below
/// the Unix time in milliseconds.
std::uint64_t next_sequence(membership_state& state, std::string_view server,
                            time_point now)
{
    auto const elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - state.started);
    state.record_sequence = std::max(
        state.record_sequence + 1,
        state.unix_start_ms + static_cast<std::uint64_t>(elapsed.count()));
    if (server_entry const* const entry = find_entry(state, server))
        state.record_sequence =
            std::max(state.record_sequence, entry->sequence + 1);
    return state.record_sequence;
}

bool is_same_content(announcement const& left, announcement const& right)
{
    return left.service == right.service && left.address == right.address &&
           left.slots == right.slots && left.state == right.state &&
           left.connections == right.connections &&
           left.incarnation == right.incarnation;
}

void log_server(event id, announcement const& details, std::string_view reason,
                actions& out)
{
    out.log.push_back(event_line(id)
                          .field("server", details.server)
                          .field("service", details.service)
                          .field("address", details.address)
                          .field("slots", details.slots)
                          .field("reason", reason));
}

/// Sends the change of a homed server to admission only. Health receives it
/// from admission, which alone has the warm-up time of the service.
void notify_admission(membership_state const& state,
                      homed_server_state const& homed, bool is_gone,
                      actions& out)
{
    homed_server message{homed.details, is_gone};
    message.details.state = effective_state(state, homed);
    out.homed_changes.push_back(std::move(message));
}

void publish_change(membership_state& state, homed_server_state const& homed,
                    time_point now, actions& out)
{
    publish_entry(state, homed, now);
    notify_admission(state, homed, false, out);
    bool const is_draining =
        effective_state(state, homed) == server_state::draining;
    log_server(is_draining ? event::server_draining : event::server_announced,
               homed.details,
               is_drained(state, homed.details.server) ? "operator" : "", out);
}

void remove_homed_server(membership_state& state, std::string_view server,
                         std::string_view reason, time_point now, actions& out)
{
    std::string const name(server);
    std::string const service = find_homed_server(state, name)->details.service;
    drop_homed_server(state, name, reason, out);
    publish_gone(state, name, service, now);
}

duration granted_lease(membership_state const& state, duration requested)
{
    if (requested <= duration(0))
        return state.parameters.default_lease;
    return std::clamp(requested, state.parameters.min_lease,
                      state.parameters.max_lease);
}

/// Expected maximum delay of an announcement in the network. A departure is
/// kept for this time, to reject announcements sent before it. A server that
/// restarts under its name is accepted, because its incarnation is higher.
constexpr duration max_announcement_delay = std::chrono::minutes(2);

/// A departure names no incarnation, and a home that has restarted does not
/// know it either. For this time after such a departure, only the first
/// announcements of a start are accepted; others were sent before the
/// departure.
constexpr duration unknown_departure_time = std::chrono::seconds(10);
constexpr std::uint64_t max_first_sequence = 2;

bool is_sent_before(announcement const& details,
                    departed_server const& departed, time_point now)
{
    duration const age = now - departed.departed_at;
    if (departed.incarnation == 0)
        return age < unknown_departure_time &&
               details.sequence > max_first_sequence;
    return age < max_announcement_delay &&
           details.incarnation <= departed.incarnation;
}

/// Whether a later announcement of the server, its departure or a later server
/// at its address has already been recorded.
bool is_outdated(membership_state const& state, announcement const& details,
                 time_point now)
{
    // A server without an incarnation number cannot be ordered.
    if (details.incarnation == 0)
        return false;
    for (departed_server const& departed : state.departures)
    {
        if (departed.server == details.server &&
            is_sent_before(details, departed, now))
            return true;
    }
    for (homed_server_state const& homed : state.homed_servers)
    {
        bool const is_same_server = homed.details.server == details.server;
        if (!is_same_server && homed.details.address != details.address)
            continue;
        if (homed.details.incarnation > details.incarnation)
            return true;
        if (is_same_server &&
            homed.details.incarnation == details.incarnation &&
            details.sequence != 0 && details.sequence < homed.details.sequence)
            return true;
    }
    return false;
}

/// Names of the homed servers whose address the announced server, which
/// started later, now uses.
std::vector<std::string> servers_replaced_by(membership_state const& state,
                                             announcement const& details)
{
    std::vector<std::string> names;
    for (homed_server_state const& homed : state.homed_servers)
    {
        if (homed.details.server != details.server &&
            homed.details.address == details.address &&
            homed.details.incarnation < details.incarnation)
            names.push_back(homed.details.server);
    }
    return names;
}

void record_departure(membership_state& state, announcement const& details,
                      time_point now)
{
    std::erase_if(state.departures,
                  [&](departed_server const& departed)
                  {
                      return departed.server == details.server ||
                             now - departed.departed_at >=
                                 max_announcement_delay;
                  });
    homed_server_state const* const homed =
        find_homed_server(state, details.server);
    std::uint64_t const last_incarnation =
        homed != nullptr ? homed->details.incarnation : 0;
    state.departures.push_back(
        {details.server, std::max(last_incarnation, details.incarnation), now});
}

/// Records the announcement and sets \p homed to its server. Returns whether
/// the entry must be published.
bool store_announcement(membership_state& state, announcement const& details,
                        homed_server_state*& homed)
{
    homed = find_homed_server(state, details.server);
    if (homed == nullptr)
    {
        homed = &state.homed_servers.emplace_back();
        homed->details = details;
        homed->status.server = details.server;
        homed->status.service = details.service;
        homed->status.slots = details.slots;
        return true;
    }
    server_entry const* const entry = find_entry(state, details.server);
    bool const is_changed = !is_same_content(homed->details, details) ||
                            entry == nullptr ||
                            entry->home != state.own_record.daemon;
    homed->is_leaving =
        homed->is_leaving && homed->details.incarnation == details.incarnation;
    homed->details = details;
    homed->status.service = details.service;
    homed->status.slots = details.slots;
    return is_changed;
}

} // namespace

std::uint32_t drain_changes_of(membership_state const& state,
                               std::string_view server)
{
    auto const found = state.drain_changes.find(server);
    return found == state.drain_changes.end() ? 0 : found->second;
}

void merge_drain_changes(membership_state& state, server_record const& record,
                         time_point now, actions& out)
{
    if (record.drain_changes <= drain_changes_of(state, record.server))
        return;
    bool const was_drained = is_drained(state, record.server);
    state.drain_changes[record.server] = record.drain_changes;
    homed_server_state const* const homed =
        find_homed_server(state, record.server);
    if (homed != nullptr && was_drained != is_drained(state, record.server))
        publish_change(state, *homed, now, out);
    // Queued even when the record loses against the entry: a losing record is
    // not spread, and the drain must still reach the other daemons.
    std::uint32_t const id = state.servers.server_names.find(record.server);
    if (id != no_name && state.servers.entries[id].is_used)
        add_update(state, subject_kind::server, id);
}

homed_server_state* find_homed_server(membership_state& state,
                                      std::string_view server)
{
    for (homed_server_state& homed : state.homed_servers)
    {
        if (homed.details.server == server)
            return &homed;
    }
    return nullptr;
}

void publish_entry(membership_state& state, homed_server_state const& homed,
                   time_point now)
{
    server_record record;
    record.server = homed.details.server;
    record.service = homed.details.service;
    record.slots = homed.details.slots;
    record.state = effective_state(state, homed);
    record.health = homed.status.health;
    record.score = homed.status.score;
    record.home = state.own_record.daemon;
    record.sequence = next_sequence(state, record.server, now);
    add_update(state, subject_kind::server, write_entry(state, record, now));
}

void publish_gone(membership_state& state, std::string_view server,
                  std::string_view service, time_point now)
{
    server_entry const* const entry = find_entry(state, server);
    if (entry != nullptr && entry->home != state.own_record.daemon)
        return;
    server_record record;
    record.server = server;
    record.service = service;
    record.state = server_state::gone;
    record.home = state.own_record.daemon;
    record.sequence = next_sequence(state, record.server, now);
    add_update(state, subject_kind::server, write_entry(state, record, now));
}

void drop_homed_server(membership_state& state, std::string_view server,
                       std::string_view reason, actions& out)
{
    for (homed_server_state const& homed : state.homed_servers)
    {
        if (homed.details.server != server)
            continue;
        notify_admission(state, homed, true, out);
        log_server(event::server_gone, homed.details, reason, out);
    }
    std::string const name(server);
    std::erase_if(state.homed_servers, [&](homed_server_state const& homed)
                  { return homed.details.server == name; });
}

void expire_leases(membership_state& state, time_point now, actions& out)
{
    std::vector<std::string> lapsed;
    for (homed_server_state const& homed : state.homed_servers)
    {
        if (now >= homed.lease_until)
            lapsed.push_back(homed.details.server);
    }
    for (std::string const& server : lapsed)
        remove_homed_server(state, server, "lease lapsed", now, out);
}

void on_announce_request(membership_state& state,
                         announce_request const& request, time_point now,
                         actions& out)
{
    duration const lease = granted_lease(state, request.details.lease);
    if (request.deliver)
        out.replies.emplace_back([deliver = request.deliver, lease]
                                 { deliver(lease); });
    if (request.details.state == server_state::gone)
    {
        homed_server_state const* const homed =
            find_homed_server(state, request.details.server);
        // A delayed departure of an earlier incarnation is ignored.
        if (homed != nullptr && request.details.incarnation != 0 &&
            homed->details.incarnation > request.details.incarnation)
            return;
        record_departure(state, request.details, now);
        if (homed != nullptr)
            remove_homed_server(state, request.details.server, "announced", now,
                                out);
        return;
    }
    if (is_outdated(state, request.details, now))
        return;
    for (std::string const& name : servers_replaced_by(state, request.details))
        remove_homed_server(state, name, "replaced at its address", now, out);
    homed_server_state* homed = nullptr;
    bool const is_changed = store_announcement(state, request.details, homed);
    homed->lease_until = now + lease;
    if (is_changed)
        publish_change(state, *homed, now, out);
}

void set_leaving(membership_state& state, homed_server_state& homed,
                 time_point now, actions& out)
{
    if (homed.is_leaving)
        return;
    homed.is_leaving = true;
    publish_change(state, homed, now, out);
    // Sent at once, like the operator's drain: other daemons must stop too.
    push_updates(state, max_drain_messages, out);
}

void on_drain_request(membership_state& state, drain_request const& request,
                      time_point now, actions& out)
{
    homed_server_state const* const homed =
        find_homed_server(state, request.server);
    if (request.deliver)
        out.replies.emplace_back(
            [deliver = request.deliver, found = homed != nullptr]
            { deliver(found); });
    if (homed == nullptr || is_drained(state, request.server) == request.drain)
        return;
    ++state.drain_changes[request.server];
    publish_change(state, *homed, now, out);
    // Sent at once, because this daemon may stop before its next pings.
    push_updates(state, max_drain_messages, out);
}

} // namespace gooseberrycove::members
