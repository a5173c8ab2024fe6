#include "config/document_watch.hpp"

#include "config/document.hpp"
#include "config/versions.hpp"

#include <algorithm>
#include <span>

namespace gooseberrycove::config
{

namespace
{

/// Delay after the first failed call; it doubles up to max_retry_delay.
constexpr duration initial_retry_delay = std::chrono::milliseconds(250);
constexpr duration max_retry_delay = std::chrono::seconds(2);

constexpr duration min_watch_time = std::chrono::seconds(1);

/// Log lines for the errors of one version.
constexpr std::size_t max_logged_entry_errors = 16;

bool has_pending_call(state const& duty, call_purpose purpose)
{
    return std::ranges::any_of(duty.calls, [purpose](store_call const& pending)
                               { return pending.purpose == purpose; });
}

/// Whether a version that a peer has reported is still missing after the time
/// in which the watch should have returned it.
bool is_read_due(state const& duty, time_point now)
{
    return duty.reported_version > duty.current->version() &&
           now >= duty.document_read_at;
}

/// Returns half of the delay plus a random part of the other half, so that
/// daemons whose calls failed together do not retry together.
duration next_retry_delay(state& duty)
{
    duration const delay = std::min(
        max_retry_delay,
        initial_retry_delay * (1 << std::min(duty.document_failures, 4U)));
    auto const half = static_cast<std::uint64_t>(delay.count() / 2);
    return duration(
        static_cast<duration::rep>(half + next_random(duty) % half));
}

/// A watch that is open while the store is restored may not return changes.
/// With random watch times, some daemon's watch ends soon after, and the others
/// learn of a newer version from it.
duration next_watch_time(state& duty)
{
    if (duty.era.era == 0)
        return document_watch_time;
    auto const range = static_cast<std::uint64_t>(
        (document_watch_time - min_watch_time).count());
    return min_watch_time +
           duration(static_cast<duration::rep>(next_random(duty) % range));
}

void refuse_document(std::uint64_t revision, std::string_view path,
                     std::string_view reason, actions& out)
{
    out.log.push_back({true, event_line(event::config_patch_refused)
                                 .field("row", document_key)
                                 .field("revision", revision)
                                 .field("path", path)
                                 .field("why", reason)});
}

/// Tells what was read of the text that the operator wrote. Compared with the
/// entries in force (E0700), it separates a text that lacks a member from one
/// whose member was not read or was read with errors.
void log_source(state const& duty, stored_document const& stored,
                std::uint64_t revision, actions& out)
{
    event_line line(event::config_document_read);
    line.field("version", stored.version)
        .field("in_force", duty.current->version())
        .field("revision", revision);
    for (source_field const& field : stored.source)
        line.field(field.name, field.value);
    out.log.push_back({false, std::move(line)});
}

void apply_stored_document(state& duty, store::row const& row, time_point now,
                           actions& out)
{
    auto const stored = parse_stored_document(row.value);
    if (!stored)
        return refuse_document(row.version, "", "cannot be parsed", out);
    // A watch returns a row once for each change, so that few lines tell of
    // versions that are not above the one in force.
    if (stored->version <= duty.current->version())
        return log_source(duty, *stored, row.version, out);
    parse_result parsed = parse_usable_entries(stored->text, stored->version);
    if (!parsed.data)
        return refuse_document(row.version, parsed.errors.front().path,
                               parsed.errors.front().detail, out);
    log_source(duty, *stored, row.version, out);
    replace_version(duty, std::move(parsed), out);
    on_version_increase(duty, now, out);
}

/// Drops a watch that is still open although the row has changed after the
/// revision from which it watches. The watch is unresponsive, and a late reply
/// to it must not be used.
void drop_unresponsive_watch(state& duty, store::reply const& reply)
{
    bool const has_changed =
        std::ranges::any_of(reply.rows, [&](store::row const& row)
                            { return row.version > duty.document_revision; });
    if (duty.document_revision > 0 && has_changed)
        std::erase_if(
            duty.calls, [](store_call const& pending)
            { return pending.purpose == call_purpose::watch_document; });
}

} // namespace

void replace_version(state& duty, parse_result&& parsed, actions& out)
{
    std::size_t const logged =
        std::min(parsed.errors.size(), max_logged_entry_errors);
    for (patch_error const& failure : std::span(parsed.errors).first(logged))
        out.log.push_back({true, event_line(event::config_entry_unusable)
                                     .field("version", parsed.data->version)
                                     .field("path", failure.path)
                                     .field("why", failure.detail)
                                     .field("errors", parsed.errors.size())});
    duty.entry_errors = parsed.errors.size();
    duty.current = std::make_shared<tables const>(std::move(parsed.data));
}

void on_newer_version_reported(state& duty, std::uint64_t version,
                               time_point now)
{
    if (version <= duty.reported_version)
        return;
    duty.reported_version = version;
    duty.document_read_at = now + document_read_delay;
}

void tick_document(state& duty, time_point now, actions& out)
{
    if (now < duty.next_poll ||
        has_pending_call(duty, call_purpose::read_document))
        return;
    std::string key(document_key);
    bool const is_due = is_read_due(duty, now);
    if (is_due)
        duty.document_read_at = now + max_retry_delay;
    if (is_due || duty.document_revision == 0)
        add_call(duty, call_purpose::read_document,
                 store::get_row{std::move(key)}, now, out);
    else if (!has_pending_call(duty, call_purpose::watch_document))
        add_call(duty, call_purpose::watch_document,
                 store::watch_row{std::move(key), duty.document_revision,
                                  next_watch_time(duty)},
                 now, out);
}

void on_document_reply(state& duty, store::reply const& reply, time_point now,
                       actions& out)
{
    if (reply.result == store::status::history_lost)
    {
        duty.document_revision = 0;
        return;
    }
    duty.has_poll_failed = reply.result != store::status::ok &&
                           reply.result != store::status::not_found;
    if (duty.has_poll_failed)
    {
        duty.next_poll = now + next_retry_delay(duty);
        ++duty.document_failures;
        return;
    }
    duty.document_failures = 0;
    drop_unresponsive_watch(duty, reply);
    duty.document_revision = std::max(duty.document_revision, reply.revision);
    // Without a revision the document cannot be watched, so it is read again
    // after a delay.
    if (reply.revision == 0)
        duty.next_poll = now + max_retry_delay;
    duty.head.is_read = true;
    for (store::row const& row : reply.rows)
        apply_stored_document(duty, row, now, out);
    update_readiness(duty, out);
}

} // namespace gooseberrycove::config
