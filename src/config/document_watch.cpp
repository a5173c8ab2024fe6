#include "config/document_watch.hpp"

#include "config/document.hpp"
#include "config/versions.hpp"

#include <algorithm>

namespace gooseberrycove::config
{

namespace
{

/// Wait after the first failed call; it doubles up to the longest one.
constexpr duration first_retry = std::chrono::milliseconds(250);
constexpr duration longest_retry = std::chrono::seconds(2);

bool is_asking(state const& duty, purpose why)
{
    return std::ranges::any_of(duty.calls, [why](call const& one)
                               { return one.why == why; });
}

/// Whether a version that a peer has told is still missing after the time in
/// which the watch should have brought it.
bool is_read_due(state const& duty, time_point now)
{
    return duty.told_version > duty.current->version() && now >= duty.read_due;
}

/// Daemons that failed together do not come back together.
duration retry_wait(state& duty)
{
    duration const wait =
        std::min(longest_retry,
                 first_retry * (1 << std::min(duty.document_failures, 4U)));
    auto const half = static_cast<std::uint64_t>(wait.count() / 2);
    return duration(
        static_cast<duration::rep>(half + next_random(duty) % half));
}

void refuse_document(std::uint64_t revision, std::string_view path,
                     std::string_view why, actions& out)
{
    out.log.push_back({true, event_line(event::config_patch_refused)
                                 .field("row", document_key)
                                 .field("revision", revision)
                                 .field("path", path)
                                 .field("why", why)});
}

void adopt(state& duty, store::row const& row, time_point now, actions& out)
{
    auto const stored = parse_stored_document(row.value);
    if (!stored)
        return refuse_document(row.version, "", "cannot be read", out);
    duty.highest_known = std::max(duty.highest_known, stored->version);
    if (stored->version <= duty.current->version())
        return;
    parsed result = parse_document(stored->text, stored->version);
    if (!result.data)
        return refuse_document(row.version, result.faults.front().path,
                               result.faults.front().detail, out);
    duty.current = std::make_shared<tables const>(std::move(result.data));
    on_risen(duty, now, out);
}

/// A watch that is still open although the row has changed after the revision
/// from which it watches is silent; its late answer is dropped.
void drop_silent_watch(state& duty, store::reply const& got)
{
    bool const has_changed =
        std::ranges::any_of(got.rows, [&](store::row const& row)
                            { return row.version > duty.document_revision; });
    if (duty.document_revision > 0 && has_changed)
        std::erase_if(duty.calls, [](call const& one)
                      { return one.why == purpose::watch_document; });
}

} // namespace

void on_newer_told(state& duty, std::uint64_t version, time_point now)
{
    if (version <= duty.told_version)
        return;
    duty.told_version = version;
    duty.read_due = now + watch_head_start;
}

void tick_document(state& duty, time_point now, actions& out)
{
    if (now < duty.next_poll || is_asking(duty, purpose::read_document))
        return;
    std::string key(document_key);
    bool const due = is_read_due(duty, now);
    if (due)
        duty.read_due = now + longest_retry;
    if (due || duty.document_revision == 0)
        add_call(duty, purpose::read_document, store::get_row{std::move(key)},
                 now, out);
    else if (!is_asking(duty, purpose::watch_document))
        add_call(duty, purpose::watch_document,
                 store::watch_row{std::move(key), duty.document_revision,
                                  document_wait},
                 now, out);
}

void on_document_reply(state& duty, store::reply const& got, time_point now,
                       actions& out)
{
    if (got.result == store::status::history_lost)
    {
        duty.document_revision = 0;
        return;
    }
    duty.store_failed = got.result != store::status::ok &&
                        got.result != store::status::not_found;
    if (duty.store_failed)
    {
        duty.next_poll = now + retry_wait(duty);
        ++duty.document_failures;
        return;
    }
    duty.document_failures = 0;
    drop_silent_watch(duty, got);
    duty.document_revision = std::max(duty.document_revision, got.revision);
    // A store that does not tell its revision is asked again after a while.
    if (got.revision == 0)
        duty.next_poll = now + longest_retry;
    duty.head.known = true;
    for (store::row const& row : got.rows)
        adopt(duty, row, now, out);
    update_ready(duty, out);
}

} // namespace gooseberrycove::config
