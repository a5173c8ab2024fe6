#include "config/versions.hpp"

#include "config/document.hpp"
#include "config/document_watch.hpp"

#include <algorithm>

namespace gooseberrycove::config
{

namespace
{

/// Time between two pulls, so that many hints about one version cause one.
constexpr duration pull_interval = std::chrono::seconds(1);

/// Time between two whole documents sent to peers; rendering one is the most
/// expensive thing that this duty does.
constexpr duration snapshot_answer_interval = std::chrono::seconds(1);

/// Time for a peer to send versions before they are read from the store.
constexpr duration peer_head_start = std::chrono::seconds(2);

constexpr duration snapshot_retry = std::chrono::seconds(5);

/// Peers that must have told their version when the store is unavailable.
constexpr std::size_t peers_for_ready = 3;

void trim_history(state& duty)
{
    while (duty.history.size() > max_history ||
           (duty.history_bytes > max_history_bytes && duty.history.size() > 1))
    {
        duty.history_bytes -= duty.history.front().patch.size();
        duty.history.pop_front();
    }
}

void note_heard(state& duty, std::string_view address, std::uint64_t version)
{
    duty.highest_known = std::max(duty.highest_known, version);
    auto& heard = duty.peers_heard;
    if (!duty.ready &&
        std::find(heard.begin(), heard.end(), address) == heard.end())
        heard.emplace_back(address);
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

void on_poll_reply(state& duty, store::reply const& got, time_point now,
                   actions& out)
{
    duty.store_failed = got.result != store::status::ok &&
                        got.result != store::status::not_found;
    if (duty.store_failed)
        return;
    record_head(duty, got.rows.empty() ? store::row{} : got.rows[0], out);
    update_ready(duty, out);
    if (duty.head.value.version <= duty.current->version())
        return;
    if (!duty.ready || duty.peers.empty())
        return start_fetch(duty, now, out);
    // At the target all daemons would read the same rows from the store, while
    // a peer has most likely got them already. The store is read when the peer
    // did not send them in time.
    if (duty.fetch.peer_asked_at == duty.current->version())
        return;
    duty.fetch.peer_asked_at = duty.current->version();
    duty.fetch.not_before = now + peer_head_start;
    send_to_random_peers(duty, pull{duty.own_address, duty.current->version()},
                         1, out);
}

void on_history_reply(state& duty, store::reply const& got, actions& out)
{
    auto const found = std::find_if(
        duty.histories.begin(), duty.histories.end(),
        [&](pending_history const& one) { return one.call == got.number; });
    if (found == duty.histories.end())
        return;
    history_answer answer{std::move(found->asked), {}};
    duty.histories.erase(found);
    for (store::row const& row : got.rows)
    {
        if (auto parsed_delta = parse_delta(row.value))
            answer.list.push_back(std::move(*parsed_delta));
    }
    if (got.result != store::status::ok)
        answer.list.assign(duty.history.begin(), duty.history.end());
    out.histories.push_back(std::move(answer));
}

void on_snapshot_written(state& duty, store::reply const& got, time_point now)
{
    // A newer snapshot may have taken the place of this one.
    if (!duty.snapshot || duty.snapshot->call != got.number)
        return;
    duty.snapshot->call = 0;
    duty.snapshot->retry_at = now + snapshot_retry;
    if (got.result == store::status::ok)
        duty.snapshot.reset();
}

void tick_snapshot(state& duty, time_point now, actions& out)
{
    if (!duty.snapshot || duty.snapshot->call != 0 ||
        now < duty.snapshot->retry_at)
        return;
    tables const& what = *duty.snapshot->what;
    duty.snapshot->call =
        add_call(duty, purpose::put_snapshot,
                 store::put_object{snapshot_name(what.version()),
                                   render_document(what.data())},
                 now, out);
}

/// Takes calls whose reply did not arrive as unknown.
void give_up_calls(state& duty, time_point now, actions& out)
{
    std::vector<std::uint64_t> late;
    for (call const& one : duty.calls)
    {
        if (now >= one.given_up)
            late.push_back(one.number);
    }
    for (std::uint64_t number : late)
        on_store_reply(duty, {number, store::status::unknown, {}, {}, 0}, now,
                       out);
}

} // namespace

std::uint64_t add_call(state& duty, purpose why, store::operation what,
                       time_point now, actions& out)
{
    bool const big =
        why == purpose::get_snapshot || why == purpose::put_snapshot;
    // A snapshot at the target has about 60 MB.
    duration timeout = std::chrono::seconds(big ? 60 : 2);
    if (why == purpose::watch_document)
        timeout += document_wait;
    std::uint64_t const number = ++duty.last_call;
    duty.calls.push_back({number, why, now + timeout + call_limit});
    out.calls.push_back({number, std::move(what), timeout, nullptr});
    return number;
}

std::uint64_t next_random(state& duty)
{
    duty.random += 0x9E3779B97F4A7C15;
    std::uint64_t x = duty.random;
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EB;
    return x ^ (x >> 31);
}

void send_to_random_peers(state& duty, peer::payload const& what,
                          std::size_t count, actions& out)
{
    std::vector<std::string> rest = duty.peers;
    for (; count > 0 && !rest.empty(); --count)
    {
        std::size_t const chosen = next_random(duty) % rest.size();
        out.sends.push_back({rest[chosen], what});
        rest[chosen] = rest.back();
        rest.pop_back();
    }
}

bool apply_delta(state& duty, delta const& next, actions& out)
{
    if (next.version != duty.current->version() + 1)
        return false;
    parsed result = apply_patch(duty.current->data(), next.patch, next.version);
    if (!result.data)
    {
        patch_error const& first = result.faults.front();
        out.log.push_back({true, event_line(event::config_patch_refused)
                                     .field("version", next.version)
                                     .field("patch_id", next.patch_id)
                                     .field("path", first.path)
                                     .field("why", first.detail)});
        return false;
    }
    duty.current = std::make_shared<tables const>(std::move(result.data));
    duty.history.push_back(next);
    duty.history_bytes += next.patch.size();
    trim_history(duty);
    return true;
}

void on_risen(state& duty, time_point now, actions& out)
{
    std::uint64_t const version = duty.current->version();
    duty.highest_known = std::max(duty.highest_known, version);
    out.in_force = true;
    out.log.push_back(
        {false, event_line(event::config_in_force).field("version", version)});
    settle_by_history(duty, now, out);
    update_ready(duty, out);
    // Daemons that watch the store get the document from there, and the others
    // learn of its version with the next packet from a peer.
    if (!duty.ready || duty.follows_document)
        return;
    if (duty.history.empty())
        return send_to_random_peers(
            duty, peer_version{duty.own_address, version}, push_fan_out, out);
    send_to_random_peers(duty,
                         deltas{duty.own_address, 0, {}, {duty.history.back()}},
                         push_fan_out, out);
}

void update_ready(state& duty, actions& out)
{
    std::size_t const wanted = std::min(peers_for_ready, duty.peers.size());
    bool const heard =
        duty.store_failed && wanted > 0 && duty.peers_heard.size() >= wanted;
    if (duty.ready || !(duty.head.known || heard) ||
        duty.current->version() < duty.highest_known ||
        (duty.follows_document && duty.current->version() == 0))
        return;
    duty.ready = true;
    duty.peers_heard.clear();
    out.in_force = true;
}

void record_head(state& duty, store::row const& row, actions& out)
{
    auto const value = row.version == 0 ? head{} : parse_head(row.value);
    if (!value)
    {
        out.log.push_back({true, event_line(event::config_ambiguous)
                                     .field("row", head_key)
                                     .field("why", "cannot be read")});
        return;
    }
    // Replies may arrive out of order.
    if (duty.head.known && row.version < duty.head.row_version)
        return;
    duty.head = {true, row.version, *value};
    duty.highest_known = std::max(duty.highest_known, value->version);
}

void on_peer_version(state& duty, peer_version const& told, time_point now,
                     actions& out)
{
    // Version 0 is told by daemons that are not ready.
    if (told.version == 0)
        return;
    note_heard(duty, told.address, told.version);
    update_ready(duty, out);
    if (told.version <= duty.current->version())
        return;
    if (duty.follows_document)
        on_newer_told(duty, told.version, now);
    if (now >= duty.next_pull)
        send_pull(duty, told.address, now, out);
}

void on_live_peers(state& duty, live_peers const& peers, time_point,
                   actions& out)
{
    duty.peers = peers.addresses;
    std::erase(duty.peers, duty.own_address);
    update_ready(duty, out);
}

void on_pull(state& duty, pull const& asked, time_point now, actions& out)
{
    // A daemon that is not ready may hold an old version; an answer from it
    // would count as that of a ready one.
    if (!duty.ready)
        return;
    std::uint64_t const version = duty.current->version();
    deltas answer{duty.own_address, 0, {}, {}};
    if (asked.after_version < version)
    {
        std::uint64_t const missing = version - asked.after_version;
        if (missing <= duty.history.size())
        {
            auto const first =
                duty.history.end() - static_cast<std::ptrdiff_t>(missing);
            auto const count = std::min<std::uint64_t>(missing, max_deltas);
            answer.entries.assign(first,
                                  first + static_cast<std::ptrdiff_t>(count));
        }
        else if (now >= duty.next_snapshot_answer)
        {
            duty.next_snapshot_answer = now + snapshot_answer_interval;
            answer.snapshot_version = version;
            answer.snapshot = render_document(duty.current->data());
        }
        else
            return;
    }
    out.sends.push_back({asked.sender_address, std::move(answer)});
    if (asked.after_version > version)
        on_peer_version(duty, {asked.sender_address, asked.after_version}, now,
                        out);
}

void on_deltas(state& duty, deltas const& got, time_point now, actions& out)
{
    std::uint64_t const before = duty.current->version();
    std::uint64_t told = std::max(before, got.snapshot_version);
    if (got.snapshot_version > before)
    {
        parsed result = parse_document(got.snapshot, got.snapshot_version);
        if (result.data)
        {
            duty.current =
                std::make_shared<tables const>(std::move(result.data));
            duty.history.clear();
            duty.history_bytes = 0;
        }
    }
    for (delta const& one : got.entries)
    {
        told = std::max(told, one.version);
        if (one.version > duty.current->version() &&
            !apply_delta(duty, one, out))
            break;
    }
    note_heard(duty, got.sender_address, told);
    std::uint64_t const version = duty.current->version();
    if (version > before)
    {
        out.log.push_back({false, event_line(event::config_pulled)
                                      .field("from", got.sender_address)
                                      .field("version", version)});
        on_risen(duty, now, out);
    }
    update_ready(duty, out);
    bool const more = got.entries.size() == max_deltas && version > before;
    if (more || (told > version && now >= duty.next_pull))
        send_pull(duty, got.sender_address, now, out);
}

void on_history(state& duty, history_request const& asked, time_point now,
                actions& out)
{
    std::uint64_t const version = duty.current->version();
    std::uint64_t const held = version - duty.history.size();
    if (asked.since_version < held)
    {
        std::uint64_t const number = add_call(
            duty, purpose::history,
            store::scan_rows{std::string(patch_prefix),
                             patch_key(asked.since_version), max_deltas},
            now, out);
        duty.histories.push_back({number, asked});
        return;
    }
    history_answer answer{asked, {}};
    for (delta const& one : duty.history)
    {
        if (one.version > asked.since_version)
            answer.list.push_back(one);
    }
    out.histories.push_back(std::move(answer));
}

void on_store_reply(state& duty, store::reply const& got, time_point now,
                    actions& out)
{
    auto const found =
        std::find_if(duty.calls.begin(), duty.calls.end(),
                     [&](call const& one) { return one.number == got.number; });
    // Replies to calls that were given up are dropped.
    if (found == duty.calls.end())
        return;
    purpose const why = found->why;
    duty.calls.erase(found);
    switch (why)
    {
    case purpose::poll:
        return on_poll_reply(duty, got, now, out);
    case purpose::read_head:
        return on_head_for_commit(duty, got, now, out);
    case purpose::write:
        return on_write_reply(duty, got, now, out);
    case purpose::scan:
        return on_scan_reply(duty, got, now, out);
    case purpose::get_snapshot:
        return on_snapshot_reply(duty, got, now, out);
    case purpose::put_snapshot:
        return on_snapshot_written(duty, got, now);
    case purpose::history:
        return on_history_reply(duty, got, out);
    case purpose::read_document:
    case purpose::watch_document:
        return on_document_reply(duty, got, now, out);
    }
}

time_point on_tick(state& duty, time_point now, actions& out)
{
    give_up_calls(duty, now, out);
    bool const polling =
        std::any_of(duty.calls.begin(), duty.calls.end(),
                    [](call const& one) { return one.why == purpose::poll; });
    if (duty.follows_document)
        tick_document(duty, now, out);
    else if (now >= duty.next_poll && !polling)
    {
        duty.next_poll = now + poll_period(duty);
        add_call(duty, purpose::poll, store::get_row{std::string(head_key)},
                 now, out);
    }
    if (duty.head.value.version > duty.current->version() &&
        now >= duty.fetch.not_before)
        start_fetch(duty, now, out);
    if (!duty.ready && duty.store_failed && now >= duty.next_pull)
    {
        duty.next_pull = now + pull_interval;
        send_to_random_peers(duty,
                             pull{duty.own_address, duty.current->version()},
                             peers_for_ready, out);
    }
    tick_commit(duty, now, out);
    tick_snapshot(duty, now, out);
    // Retries are due at steps of 250 ms; everything else at whole seconds.
    // A poll that is due while another is under way must not end the wait.
    duration const step = std::chrono::milliseconds(duty.committing ? 50 : 250);
    return duty.next_poll > now ? std::min(duty.next_poll, now + step)
                                : now + step;
}

} // namespace gooseberrycove::config
