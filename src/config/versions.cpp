#include "config/versions.hpp"

#include "config/document.hpp"
#include "config/document_watch.hpp"
#include "config/store_era.hpp"

#include <algorithm>

namespace gooseberrycove::config
{

namespace
{

/// Minimum time between two pulls, so that several reports of one version cause
/// one pull.
constexpr duration pull_interval = std::chrono::seconds(1);

/// Minimum time between two whole documents sent to peers; rendering one is the
/// most expensive operation of this duty.
constexpr duration snapshot_send_interval = std::chrono::seconds(1);

/// Time for a peer to send versions before they are read from the store.
constexpr duration store_read_delay = std::chrono::seconds(2);

/// Time for which a peer's report confirms the version in force while the store
/// does not. Peers report it with each ping, about once a second.
constexpr duration confirmation_time = std::chrono::seconds(5);

constexpr duration snapshot_retry_interval = std::chrono::seconds(5);

/// Peers that must have reported their version before this daemon is ready
/// while the store is unavailable.
constexpr std::size_t min_reporting_peers = 3;

void trim_history(state& duty)
{
    while (duty.history.size() > max_history_patches ||
           (duty.history_bytes > max_history_bytes && duty.history.size() > 1))
    {
        duty.history_bytes -= duty.history.front().patch.size();
        duty.history.pop_front();
    }
}

void record_peer_version(state& duty, std::string_view address,
                         std::uint64_t version)
{
    duty.highest_seen_version = std::max(duty.highest_seen_version, version);
    auto& reporting = duty.reporting_peers;
    if (!duty.is_ready && std::find(reporting.begin(), reporting.end(),
                                    address) == reporting.end())
        reporting.emplace_back(address);
}

void send_pull(state& duty, std::string_view address, time_point now,
               actions& out)
{
    duty.next_pull = now + pull_interval;
    out.sends.push_back({std::string(address),
                         pull{duty.own_address, duty.current->version()}});
}

duration poll_period(state const& duty)
{
    double const daemons = static_cast<double>(duty.peers.size() + 1);
    return std::max<duration>(
        std::chrono::seconds(1),
        std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(daemons / fleet_polls_per_s)));
}

void on_poll_reply(state& duty, store::reply const& reply, time_point now,
                   actions& out)
{
    duty.has_poll_failed = reply.result != store::status::ok &&
                           reply.result != store::status::not_found;
    if (duty.has_poll_failed)
        return;
    record_head(duty, reply.rows.empty() ? store::row{} : reply.rows[0], out);
    update_readiness(duty, out);
    restore_patches(duty, now, out);
    if (duty.head.value.version <= duty.current->version())
        return;
    if (!duty.is_ready || duty.peers.empty())
        return start_fetch(duty, now, out);
    // In a large fleet all daemons would read the same rows from the store,
    // while a peer most likely holds them already. The store is read only when
    // the peer does not send them in time.
    if (duty.fetch.version_at_last_pull == duty.current->version())
        return;
    duty.fetch.version_at_last_pull = duty.current->version();
    duty.fetch.not_before = now + store_read_delay;
    send_to_random_peers(duty, pull{duty.own_address, duty.current->version()},
                         1, out);
}

void on_history_reply(state& duty, store::reply const& reply, actions& out)
{
    auto const found = std::find_if(
        duty.pending_histories.begin(), duty.pending_histories.end(),
        [&](pending_history const& pending)
        { return pending.call_number == reply.number; });
    if (found == duty.pending_histories.end())
        return;
    history_response response{std::move(found->request), {}};
    duty.pending_histories.erase(found);
    for (store::row const& row : reply.rows)
    {
        if (auto entry = parse_delta(row.value))
            response.entries.push_back(std::move(*entry));
    }
    if (reply.result != store::status::ok)
        response.entries.assign(duty.history.begin(), duty.history.end());
    out.history_responses.push_back(std::move(response));
}

void on_put_snapshot_reply(state& duty, store::reply const& reply,
                           time_point now)
{
    // A newer snapshot may have replaced this one.
    if (!duty.snapshot || duty.snapshot->call_number != reply.number)
        return;
    duty.snapshot->call_number = 0;
    duty.snapshot->retry_at = now + snapshot_retry_interval;
    if (reply.result == store::status::ok)
        duty.snapshot.reset();
}

void tick_snapshot(state& duty, time_point now, actions& out)
{
    if (!duty.snapshot || duty.snapshot->call_number != 0 ||
        now < duty.snapshot->retry_at)
        return;
    tables const& content = *duty.snapshot->content;
    duty.snapshot->call_number =
        add_call(duty, call_purpose::put_snapshot,
                 store::put_object{snapshot_name(content.version()),
                                   render_document(content.data())},
                 now, out);
}

/// Handles calls without a reply as calls with an unknown result.
void abandon_overdue_calls(state& duty, time_point now, actions& out)
{
    std::vector<std::uint64_t> overdue;
    for (store_call const& pending : duty.calls)
    {
        if (now >= pending.abandon_at)
            overdue.push_back(pending.number);
    }
    for (std::uint64_t number : overdue)
        on_store_reply(duty, {number, store::status::unknown, {}, {}, 0}, now,
                       out);
}

} // namespace

std::uint64_t add_call(state& duty, call_purpose purpose, store::operation op,
                       time_point now, actions& out)
{
    bool const is_snapshot = purpose == call_purpose::get_snapshot ||
                             purpose == call_purpose::put_snapshot;
    // A snapshot of 540,000 accounts and 76,000 routes has about 60 MB.
    duration timeout = std::chrono::seconds(is_snapshot ? 60 : 2);
    if (auto const* watch = std::get_if<store::watch_row>(&op))
        timeout += watch->wait;
    std::uint64_t const number = ++duty.last_call_number;
    duty.calls.push_back({number, purpose, now + timeout + reply_grace_period});
    out.calls.push_back({number, std::move(op), timeout, nullptr});
    return number;
}

std::uint64_t next_random(state& duty)
{
    duty.random_state += 0x9E3779B97F4A7C15;
    std::uint64_t x = duty.random_state;
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EB;
    return x ^ (x >> 31);
}

void send_to_random_peers(state& duty, peer::payload const& content,
                          std::size_t count, actions& out)
{
    std::vector<std::string> candidates = duty.peers;
    for (; count > 0 && !candidates.empty(); --count)
    {
        std::size_t const chosen = next_random(duty) % candidates.size();
        out.sends.push_back({candidates[chosen], content});
        candidates[chosen] = candidates.back();
        candidates.pop_back();
    }
}

bool apply_delta(state& duty, delta const& next, actions& out)
{
    if (next.version != duty.current->version() + 1)
        return false;
    parse_result parsed =
        apply_patch(duty.current->data(), next.patch, next.version);
    if (!parsed.data)
    {
        patch_error const& first_error = parsed.errors.front();
        out.log.push_back({true, event_line(event::config_patch_refused)
                                     .field("version", next.version)
                                     .field("patch_id", next.patch_id)
                                     .field("path", first_error.path)
                                     .field("why", first_error.detail)});
        return false;
    }
    duty.current = std::make_shared<tables const>(std::move(parsed.data));
    duty.history.push_back(next);
    duty.history_bytes += next.patch.size();
    trim_history(duty);
    return true;
}

void on_version_increase(state& duty, time_point now, actions& out)
{
    std::uint64_t const version = duty.current->version();
    duty.highest_seen_version = std::max(duty.highest_seen_version, version);
    out.has_version_changed = true;
    duty.counts = count_entries(duty.current->data());
    out.log.push_back(
        {false, event_line(event::config_in_force)
                    .field("version", version)
                    .field("services", duty.counts.services)
                    .field("routes", duty.counts.routes)
                    .field("open_routes", duty.counts.open_routes)
                    .field("refusing_routes", duty.counts.refusing_routes)
                    .field("accounts", duty.counts.accounts)
                    .field("entry_errors",
                           static_cast<std::uint64_t>(duty.entry_errors))});
    resolve_from_history(duty, now, out);
    update_readiness(duty, out);
    // Daemons that watch the store receive the document from there; the others
    // receive its version with the next packet from a peer.
    if (!duty.is_ready || duty.follows_document)
        return;
    if (duty.history.empty())
        return send_to_random_peers(
            duty, peer_version{duty.own_address, version}, push_fan_out, out);
    send_to_random_peers(duty,
                         deltas{duty.own_address, 0, {}, {duty.history.back()}},
                         push_fan_out, out);
}

bool is_current(state const& duty, time_point now)
{
    std::uint64_t const version = duty.current->version();
    bool const is_confirmed =
        !duty.has_poll_failed || now - duty.confirmed_at < confirmation_time;
    return duty.is_ready && is_confirmed &&
           std::max(duty.highest_seen_version, duty.reported_version) <=
               version;
}

void update_readiness(state& duty, actions& out)
{
    std::size_t const required_reports =
        std::min(min_reporting_peers, duty.peers.size());
    bool const has_enough_reports =
        duty.has_poll_failed && required_reports > 0 &&
        duty.reporting_peers.size() >= required_reports;
    if (duty.is_ready || !(duty.head.is_read || has_enough_reports) ||
        duty.current->version() < duty.highest_seen_version ||
        (duty.follows_document && duty.current->version() == 0))
        return;
    duty.is_ready = true;
    duty.reporting_peers.clear();
    out.has_version_changed = true;
}

void record_head(state& duty, store::row const& row, actions& out)
{
    auto const value = row.version == 0 ? head_record{} : parse_head(row.value);
    if (!value)
    {
        out.log.push_back({true, event_line(event::config_ambiguous)
                                     .field("row", head_key)
                                     .field("why", "cannot be parsed")});
        return;
    }
    // Replies may arrive out of order.
    if (duty.head.is_read && row.version < duty.head.row_version)
        return;
    duty.head = {true, row.version, *value};
    duty.highest_seen_version =
        std::max(duty.highest_seen_version, value->version);
}

void on_peer_version(state& duty, peer_version const& report, time_point now,
                     actions& out)
{
    // Daemons that are not ready report version 0.
    if (report.version == 0)
        return;
    record_peer_version(duty, report.address, report.version);
    update_readiness(duty, out);
    if (report.version == duty.current->version())
        duty.confirmed_at = now;
    if (report.version <= duty.current->version())
        return;
    if (duty.follows_document)
        on_newer_version_reported(duty, report.version, now);
    if (now >= duty.next_pull)
        send_pull(duty, report.address, now, out);
}

void on_live_peers(state& duty, live_peers const& peers, time_point,
                   actions& out)
{
    duty.peers = peers.addresses;
    std::erase(duty.peers, duty.own_address);
    update_readiness(duty, out);
}

void on_pull(state& duty, pull const& request, time_point now, actions& out)
{
    // A daemon that is not ready may hold an old version, and its reply would
    // count as that of a ready daemon.
    if (!duty.is_ready)
        return;
    std::uint64_t const version = duty.current->version();
    deltas reply{duty.own_address, 0, {}, {}};
    if (request.after_version < version)
    {
        std::uint64_t const missing = version - request.after_version;
        if (missing <= duty.history.size())
        {
            auto const first =
                duty.history.end() - static_cast<std::ptrdiff_t>(missing);
            auto const count = std::min<std::uint64_t>(missing, max_deltas);
            reply.entries.assign(first,
                                 first + static_cast<std::ptrdiff_t>(count));
        }
        else if (now >= duty.next_snapshot_send)
        {
            duty.next_snapshot_send = now + snapshot_send_interval;
            reply.snapshot_version = version;
            reply.snapshot = render_document(duty.current->data());
        }
        else
            return;
    }
    out.sends.push_back({request.sender_address, std::move(reply)});
    if (request.after_version > version)
        on_peer_version(duty, {request.sender_address, request.after_version},
                        now, out);
}

void on_deltas(state& duty, deltas const& received, time_point now,
               actions& out)
{
    std::uint64_t const version_before = duty.current->version();
    std::uint64_t reported_version =
        std::max(version_before, received.snapshot_version);
    if (received.snapshot_version > version_before)
    {
        parse_result parsed =
            duty.follows_document
                ? parse_usable_entries(received.snapshot,
                                       received.snapshot_version)
                : parse_document(received.snapshot, received.snapshot_version);
        if (parsed.data)
        {
            replace_version(duty, std::move(parsed), out);
            duty.history.clear();
            duty.history_bytes = 0;
        }
        else
            out.log.push_back(
                {true, event_line(event::config_patch_refused)
                           .field("from", received.sender_address)
                           .field("version", received.snapshot_version)
                           .field("path", parsed.errors.front().path)
                           .field("why", parsed.errors.front().detail)});
    }
    for (delta const& entry : received.entries)
    {
        reported_version = std::max(reported_version, entry.version);
        if (entry.version > duty.current->version() &&
            !apply_delta(duty, entry, out))
            break;
    }
    record_peer_version(duty, received.sender_address, reported_version);
    std::uint64_t const version = duty.current->version();
    if (version > version_before)
    {
        out.log.push_back({false, event_line(event::config_pulled)
                                      .field("from", received.sender_address)
                                      .field("version", version)});
        on_version_increase(duty, now, out);
    }
    update_readiness(duty, out);
    bool const has_more =
        received.entries.size() == max_deltas && version > version_before;
    if (has_more || (reported_version > version && now >= duty.next_pull))
        send_pull(duty, received.sender_address, now, out);
}

void on_history(state& duty, history_request const& request, time_point now,
                actions& out)
{
    std::uint64_t const version = duty.current->version();
    std::uint64_t const oldest_base = version - duty.history.size();
    if (request.since_version < oldest_base)
    {
        std::uint64_t const number = add_call(
            duty, call_purpose::read_history,
            store::scan_rows{std::string(patch_prefix),
                             patch_key(request.since_version), max_deltas},
            now, out);
        duty.pending_histories.push_back({number, request});
        return;
    }
    history_response response{request, {}};
    for (delta const& entry : duty.history)
    {
        if (entry.version > request.since_version)
            response.entries.push_back(entry);
    }
    out.history_responses.push_back(std::move(response));
}

void on_store_reply(state& duty, store::reply const& reply, time_point now,
                    actions& out)
{
    store::era_change const change = store::observe_era(duty.era, reply);
    if (change == store::era_change::older)
        return on_store_reply(
            duty, {reply.number, store::status::unknown, {}, {}, 0}, now, out);
    // Also erases the watch of the earlier era, whose reply may lack changes.
    if (change == store::era_change::newer)
        on_new_store_era(duty, now, out);
    auto const found = std::find_if(duty.calls.begin(), duty.calls.end(),
                                    [&](store_call const& pending)
                                    { return pending.number == reply.number; });
    // Replies to abandoned calls are dropped.
    if (found == duty.calls.end())
        return;
    call_purpose const purpose = found->purpose;
    duty.calls.erase(found);
    switch (purpose)
    {
    case call_purpose::poll:
        return on_poll_reply(duty, reply, now, out);
    case call_purpose::read_head:
        return on_head_for_commit(duty, reply, now, out);
    case call_purpose::write:
        return on_write_reply(duty, reply, now, out);
    case call_purpose::scan_patches:
        return on_scan_reply(duty, reply, now, out);
    case call_purpose::get_snapshot:
        return on_snapshot_reply(duty, reply, now, out);
    case call_purpose::put_snapshot:
        return on_put_snapshot_reply(duty, reply, now);
    case call_purpose::restore_patches:
        return on_restore_reply(duty, reply, now);
    case call_purpose::read_history:
        return on_history_reply(duty, reply, out);
    case call_purpose::read_document:
    case call_purpose::watch_document:
        return on_document_reply(duty, reply, now, out);
    }
}

time_point on_tick(state& duty, time_point now, actions& out)
{
    abandon_overdue_calls(duty, now, out);
    bool const is_polling =
        std::any_of(duty.calls.begin(), duty.calls.end(),
                    [](store_call const& pending)
                    { return pending.purpose == call_purpose::poll; });
    if (duty.follows_document)
        tick_document(duty, now, out);
    else if (now >= duty.next_poll && !is_polling)
    {
        duty.next_poll = now + poll_period(duty);
        add_call(duty, call_purpose::poll,
                 store::get_row{std::string(head_key)}, now, out);
    }
    if (duty.head.value.version > duty.current->version() &&
        now >= duty.fetch.not_before)
        start_fetch(duty, now, out);
    if (!duty.is_ready && duty.has_poll_failed && now >= duty.next_pull)
    {
        duty.next_pull = now + pull_interval;
        send_to_random_peers(duty,
                             pull{duty.own_address, duty.current->version()},
                             min_reporting_peers, out);
    }
    tick_commit(duty, now, out);
    tick_snapshot(duty, now, out);
    // Retries are due in steps of 250 ms; everything else in whole seconds. A
    // poll that is due while another has no reply must not end the wait, or the
    // loop would spin.
    duration const step = std::chrono::milliseconds(duty.commit ? 50 : 250);
    return duty.next_poll > now ? std::min(duty.next_poll, now + step)
                                : now + step;
}

} // namespace gooseberrycove::config
