#include "members/lease.hpp"

#include "members/directory.hpp"
#include "members/gossip.hpp"
#include "members/held_announcements.hpp"
#include "members/peers.hpp"
#include "members/stored_withdrawals.hpp"
#include "members/withdrawal.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

/// Peers that receive a withdrawal at once. 16 covers a small fleet; at the
/// target size withdrawals at one home are rare.
constexpr int max_withdrawal_messages = 16;

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
    state.record_sequence =
        std::max(state.record_sequence + 1, unix_ms_at(state, now));
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
                         std::string_view reason, announcement_number departed,
                         time_point now, actions& out)
{
    std::string const name(server);
    std::string const service = find_homed_server(state, name)->details.service;
    drop_homed_server(state, name, reason, out);
    publish_gone(state, name, service, departed, now);
}

/// Whether a later announcement of the server, its departure or a later server
/// at its address has already been recorded.
bool is_outdated(membership_state const& state, announcement const& details,
                 time_point now)
{
    // A server without an incarnation number cannot be ordered.
    if (details.incarnation == 0)
        return false;
    if (is_before_withdrawal(state, details.server, number_of(details), now) ||
        may_precede_unnumbered_departure(state, details, now))
        return true;
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

/// The homed servers whose address the announced server, which started later,
/// now uses.
std::vector<announcement> servers_replaced_by(membership_state const& state,
                                              announcement const& details)
{
    std::vector<announcement> replaced;
    for (homed_server_state const& homed : state.homed_servers)
    {
        if (homed.details.server != details.server &&
            homed.details.address == details.address &&
            homed.details.incarnation < details.incarnation)
            replaced.push_back(homed.details);
    }
    return replaced;
}

/// The departure of the latest start of the server that is known.
announcement_number departure_of(membership_state& state,
                                 announcement const& details)
{
    announcement_number departed{details.incarnation, departure_sequence};
    if (auto const* const homed = find_homed_server(state, details.server))
        departed.incarnation =
            std::max(departed.incarnation, homed->details.incarnation);
    auto const known = state.withdrawals.find(details.server);
    if (known != state.withdrawals.end())
        departed.incarnation =
            std::max(departed.incarnation, known->second.number.incarnation);
    return departed;
}

/// Returns false when a later withdrawal of the server is known.
bool note_own_withdrawal(membership_state& state, std::string_view server,
                         withdrawal noted, time_point now)
{
    noted.home = state.own_record.daemon;
    return note_withdrawal(state, server, noted, now);
}

/// The server was replaced or departed; no earlier announcement of it may be
/// taken, also by the next run of this home.
void record_departure(membership_state& state, std::string_view server,
                      announcement_number departed, time_point now)
{
    bool const is_new =
        note_own_withdrawal(state, server, {departed, server_state::gone}, now);
    bool const was_drained =
        state.stored.drained_servers.erase(std::string(server)) != 0;
    if (is_new || was_drained)
        note_stored_change(state);
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

duration granted_lease(membership_state const& state, duration requested)
{
    if (requested <= duration(0))
        return state.parameters.default_lease;
    return std::clamp(requested, state.parameters.min_lease,
                      state.parameters.max_lease);
}

announcement_number number_of(announcement const& details)
{
    return {details.incarnation, details.sequence};
}

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
    record.announced = number_of(homed.details);
    // No announcement of this start of the server means that it serves again.
    if (homed.is_leaving)
        record.announced.sequence = departure_sequence;
    if (homed.details.state == server_state::draining)
        note_own_withdrawal(state, record.server,
                            {number_of(homed.details), server_state::draining},
                            now);
    add_update(state, subject_kind::server, write_entry(state, record, now));
}

void publish_gone(membership_state& state, std::string_view server,
                  std::string_view service, announcement_number departed,
                  time_point now)
{
    server_record record;
    record.server = server;
    record.service = service;
    if (departed.incarnation != 0)
        note_own_withdrawal(state, server, {departed, server_state::gone}, now);
    server_entry const* const entry = find_entry(state, server);
    if (entry != nullptr && entry->home != state.own_record.daemon)
        return;
    record.state = server_state::gone;
    record.announced = departed;
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
        remove_homed_server(state, server, "lease lapsed", {}, now, out);
}

void withdraw_homed_server(membership_state& state, server_record const& record,
                           time_point now, actions& out)
{
    if (record.state == server_state::gone)
        return remove_homed_server(state, record.server,
                                   "departed before this start of the daemon",
                                   record.announced, now, out);
    homed_server_state* const homed = find_homed_server(state, record.server);
    homed->details.state = server_state::draining;
    publish_change(state, *homed, now, out);
}

namespace
{

void apply_departure(membership_state& state, announcement const& details,
                     time_point now, actions& out)
{
    homed_server_state const* const homed =
        find_homed_server(state, details.server);
    // A delayed departure of an earlier incarnation is ignored.
    if (homed != nullptr && details.incarnation != 0 &&
        homed->details.incarnation > details.incarnation)
        return;
    announcement_number const departed = departure_of(state, details);
    record_departure(state, details.server, departed, now);
    if (homed != nullptr)
        remove_homed_server(state, details.server, "announced", departed, now,
                            out);
    // The peers must know before this daemon can restart.
    push_updates(state, max_withdrawal_messages, out);
}

void apply_announcement(membership_state& state, announcement const& details,
                        time_point now, actions& out)
{
    if (is_outdated(state, details, now) ||
        hold_announcement(state, details, now, out))
        return;
    for (announcement const& replaced : servers_replaced_by(state, details))
    {
        announcement_number const departed{replaced.incarnation,
                                           departure_sequence};
        record_departure(state, replaced.server, departed, now);
        remove_homed_server(state, replaced.server, "replaced at its address",
                            departed, now, out);
    }
    homed_server_state* homed = nullptr;
    bool const is_changed = store_announcement(state, details, homed);
    homed->lease_until = now + granted_lease(state, details.lease);
    if (!is_changed)
        return;
    publish_change(state, *homed, now, out);
    if (details.state != server_state::draining)
        return;
    note_stored_change(state);
    push_updates(state, max_withdrawal_messages, out);
}

} // namespace

void on_announce_request(membership_state& state,
                         announce_request const& request, time_point now,
                         actions& out)
{
    announcement const& details = request.details;
    if (details.state == server_state::gone)
        apply_departure(state, details, now, out);
    else
        apply_announcement(state, details, now, out);
    if (!request.deliver)
        return;
    auto reply =
        [deliver = request.deliver, lease = granted_lease(state, details.lease)]
    { deliver(lease); };
    if (details.state == server_state::serving)
        out.replies.emplace_back(std::move(reply));
    else
        acknowledge_when_stored(state, details.server, std::move(reply), now,
                                out);
}

void set_leaving(membership_state& state, homed_server_state& homed,
                 time_point now, actions& out)
{
    if (homed.is_leaving)
        return;
    homed.is_leaving = true;
    publish_change(state, homed, now, out);
    // Sent at once, like the operator's drain: other daemons must stop too.
    push_updates(state, max_withdrawal_messages, out);
}

void on_drain_request(membership_state& state, drain_request const& request,
                      time_point now, actions& out)
{
    homed_server_state const* const homed =
        find_homed_server(state, request.server);
    bool const is_found = homed != nullptr;
    if (is_found && is_drained(state, request.server) != request.drain)
    {
        ++state.drain_changes[request.server];
        state.stored.drained_servers.insert(request.server);
        note_stored_change(state);
        publish_change(state, *homed, now, out);
        // Sent at once, because this daemon may stop before its next pings.
        push_updates(state, max_withdrawal_messages, out);
    }
    if (!request.deliver)
        return;
    auto reply = [deliver = request.deliver, is_found] { deliver(is_found); };
    if (is_found)
        acknowledge_when_stored(state, request.server, std::move(reply), now,
                                out);
    else
        out.replies.emplace_back(std::move(reply));
}

} // namespace gooseberrycove::members
