#include "members/stored_withdrawals.hpp"

#include "members/lease.hpp"
#include "members/withdrawal.hpp"
#include "members/withdrawal_row.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

/// A backend server takes an acknowledgement that comes within a second.
constexpr duration max_acknowledgement_wait{500'000};
constexpr duration call_timeout{2'000'000};
constexpr duration retry_period{500'000};
/// Keeps the row below the platform's 64 KB. A write over it is refused again
/// and again, and each acknowledgement would wait in vain.
constexpr std::size_t max_names_bytes = 8'000;
constexpr std::size_t max_stored_entries = 128;

/// At least half of the period, so that homes whose calls failed together do
/// not retry together.
duration next_retry_period(membership_state& state)
{
    auto const half = static_cast<std::uint64_t>(retry_period.count() / 2);
    return duration(static_cast<duration::rep>(half + state.random() % half));
}

/// Removes the last entries beyond what the row can hold.
template <class Entry>
void limit_entries(std::vector<Entry>& entries)
{
    std::size_t names_bytes = 0;
    std::size_t count = 0;
    for (Entry const& entry : entries)
    {
        names_bytes += entry.server.size();
        if (names_bytes > max_names_bytes || count == max_stored_entries)
            break;
        ++count;
    }
    entries.resize(count);
}

/// Withdrawals that this or an earlier run of this home received, the latest
/// first.
std::vector<stored_withdrawal> own_withdrawals(membership_state const& state)
{
    std::vector<stored_withdrawal> result;
    for (auto const& [server, known] : state.withdrawals)
    {
        if (known.home.id != state.own_record.daemon.id)
            continue;
        result.push_back({server, known.number, known.state,
                          unix_ms_at(state, known.recorded_at)});
    }
    std::ranges::sort(result, std::greater{}, &stored_withdrawal::unix_ms);
    limit_entries(result);
    return result;
}

withdrawal_record make_withdrawal_record(membership_state const& state,
                                         time_point now)
{
    withdrawal_record record;
    record.unix_ms = unix_ms_at(state, now);
    record.withdrawals = own_withdrawals(state);
    for (std::string const& server : state.stored.drained_servers)
        record.drains.push_back({server, drain_changes_of(state, server)});
    limit_entries(record.drains);
    return record;
}

void read_row(membership_state& state, actions& out)
{
    store::request request;
    request.number = read_withdrawals_number;
    request.op = store::get_row{withdrawal_row_key(state.own_record.daemon.id)};
    request.timeout = call_timeout;
    out.store_requests.push_back(std::move(request));
}

void write_row(membership_state& state, time_point now, actions& out)
{
    std::string const key = withdrawal_row_key(state.own_record.daemon.id);
    store::transaction write;
    // A write whose reply was lost may still be applied, after a later one.
    write.conditions.push_back({key, *state.stored.version});
    write.puts.push_back(
        {key, render_withdrawal_record(make_withdrawal_record(state, now))});
    store::request request;
    request.number = write_withdrawals_number;
    request.op = std::move(write);
    request.timeout = call_timeout;
    state.stored.sent_change = state.stored.last_change;
    out.store_requests.push_back(std::move(request));
}

void restore_withdrawal(membership_state& state, stored_withdrawal const& item,
                        time_point now, actions& out)
{
    std::uint64_t const present = unix_ms_at(state, now);
    // Machines' times of day may differ.
    std::uint64_t const age_ms = present - std::min(present, item.unix_ms);
    if (std::chrono::milliseconds(age_ms) >= max_announcement_delay ||
        !note_withdrawal(
            state, item.server,
            {item.number, item.state, state.own_record.daemon, now}, now))
        return;
    state.withdrawals.find(item.server)->second.recorded_at =
        now - duration(age_ms * 1000);
    homed_server_state const* const homed =
        find_homed_server(state, item.server);
    if (homed == nullptr || !(number_of(homed->details) < item.number))
        return;
    server_record record;
    record.server = item.server;
    record.state = item.state;
    record.announced = item.number;
    withdraw_homed_server(state, record, now, out);
}

void restore_drain(membership_state& state, stored_drain const& item,
                   time_point now, actions& out)
{
    server_record record;
    record.server = item.server;
    record.drain_changes = item.changes;
    state.stored.drained_servers.insert(item.server);
    merge_drain_changes(state, record, now, out);
}

/// Takes over what the row holds and this run does not know.
void restore_row(membership_state& state, store::reply const& reply,
                 time_point now, actions& out)
{
    std::string const key = withdrawal_row_key(state.own_record.daemon.id);
    auto const row = std::ranges::find(reply.rows, key, &store::row::key);
    bool const is_present = row != reply.rows.end() && row->version != 0;
    state.stored.version = is_present ? row->version : 0;
    withdrawal_record const record =
        is_present
            ? parse_withdrawal_record(row->value).value_or(withdrawal_record{})
            : withdrawal_record{};
    for (stored_withdrawal const& item : record.withdrawals)
        restore_withdrawal(state, item, now, out);
    for (stored_drain const& item : record.drains)
        restore_drain(state, item, now, out);
    if (state.stored.is_loaded)
        return;
    state.stored.is_loaded = true;
    out.log.push_back(
        event_line(event::withdrawals_loaded)
            .field("withdrawals",
                   static_cast<std::uint64_t>(record.withdrawals.size()))
            .field("drains", static_cast<std::uint64_t>(record.drains.size())));
}

void send_due_acknowledgements(membership_state& state, time_point now,
                               actions& out)
{
    auto& pending = state.stored.acknowledgements;
    for (pending_acknowledgement& item : pending)
    {
        bool const is_stored = item.change <= state.stored.stored_change;
        if (!is_stored && now < item.deadline)
            continue;
        if (!is_stored)
            out.log.push_back(event_line(event::withdrawal_not_stored)
                                  .field("server", item.server));
        out.replies.push_back(std::move(item.reply));
        item.reply = nullptr;
    }
    std::erase_if(pending, [](pending_acknowledgement const& item)
                  { return !item.reply; });
}

} // namespace

void note_stored_change(membership_state& state)
{
    ++state.stored.last_change;
}

void acknowledge_when_stored(membership_state& state, std::string_view server,
                             std::function<void()> reply, time_point now,
                             actions& out)
{
    if (state.stored.stored_change == state.stored.last_change)
    {
        out.replies.push_back(std::move(reply));
        return;
    }
    state.stored.acknowledgements.push_back(
        {std::string(server), state.stored.last_change,
         now + max_acknowledgement_wait, std::move(reply)});
}

void run_stored_withdrawals(membership_state& state, time_point now,
                            actions& out)
{
    stored_withdrawals_state& stored = state.stored;
    bool const needs_write = stored.stored_change != stored.last_change;
    bool const needs_read =
        !stored.is_loaded || (needs_write && !stored.version);
    if (!stored.is_call_pending && now >= stored.next_call &&
        (needs_read || needs_write))
    {
        stored.is_call_pending = true;
        stored.call_deadline = now + 2 * call_timeout;
        if (needs_read)
            read_row(state, out);
        else
            write_row(state, now, out);
    }
    // The ring of the store drops calls when it is full.
    if (stored.is_call_pending && now >= stored.call_deadline)
    {
        stored.is_call_pending = false;
        stored.version.reset();
    }
    send_due_acknowledgements(state, now, out);
}

void on_stored_withdrawals_reply(membership_state& state,
                                 store::reply const& reply, bool is_usable,
                                 time_point now, actions& out)
{
    stored_withdrawals_state& stored = state.stored;
    stored.is_call_pending = false;
    bool const is_read = reply.number == read_withdrawals_number;
    bool const is_ok = is_usable && reply.result == store::status::ok;
    bool const shows_row =
        is_usable &&
        ((is_read && (is_ok || reply.result == store::status::not_found)) ||
         reply.result == store::status::condition_failed);
    if (shows_row)
        return restore_row(state, reply, now, out);
    if (is_ok && !reply.rows.empty())
    {
        stored.version = reply.rows.front().version;
        stored.stored_change = stored.sent_change;
        return;
    }
    // Refused, or without a reply: then the write may have been applied.
    if (!is_ok)
        stored.next_call = now + next_retry_period(state);
    else
        stored.stored_change = stored.sent_change;
    stored.version.reset();
}

void rewrite_stored_withdrawals(membership_state& state)
{
    state.stored.version.reset();
    if (!own_withdrawals(state).empty() ||
        !state.stored.drained_servers.empty())
        note_stored_change(state);
}

} // namespace gooseberrycove::members
