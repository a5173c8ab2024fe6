#include "config/document.hpp"
#include "config/versions.hpp"

namespace gooseberrycove::config
{

namespace
{

/// Missing versions that are read as patches; for more a snapshot is read
/// first.
constexpr std::uint64_t max_patch_gap = 4 * snapshot_interval;

/// Snapshots tried, from the latest backwards, before all missing patches are
/// read instead. A snapshot is missing when the daemon that committed its
/// version stopped before it wrote the snapshot.
constexpr int max_unusable_snapshots = 8;

constexpr duration fetch_retry_interval = std::chrono::seconds(1);

/// Version of the latest snapshot that is newer than the version in force and
/// was not tried yet, or 0 to read patches.
std::uint64_t next_snapshot_version(state const& duty)
{
    std::uint64_t const version = duty.current->version();
    std::uint64_t const latest = duty.head.value.version;
    // While a patch is being committed the version after its base must appear
    // in the history, which decides the result; a snapshot would replace the
    // history.
    if (duty.commit || latest - version <= max_patch_gap ||
        duty.fetch.unusable_snapshots >= max_unusable_snapshots)
        return 0;
    std::uint64_t const skipped =
        static_cast<std::uint64_t>(duty.fetch.unusable_snapshots) *
        snapshot_interval;
    std::uint64_t const newest_snapshot = latest - latest % snapshot_interval;
    return newest_snapshot > version + skipped ? newest_snapshot - skipped : 0;
}

void on_fetch_failed(state& duty, time_point now)
{
    duty.fetch.is_active = false;
    duty.fetch.not_before = now + fetch_retry_interval;
}

void fetch_next(state& duty, time_point now, actions& out)
{
    duty.fetch.is_active = duty.head.value.version > duty.current->version();
    if (!duty.fetch.is_active)
    {
        duty.fetch.unusable_snapshots = 0;
        return;
    }
    duty.fetch.snapshot_version = next_snapshot_version(duty);
    if (duty.fetch.snapshot_version > 0)
        add_call(duty, call_purpose::get_snapshot,
                 store::get_object{snapshot_name(duty.fetch.snapshot_version)},
                 now, out);
    else
        add_call(duty, call_purpose::scan_patches,
                 store::scan_rows{std::string(patch_prefix),
                                  patch_key(duty.current->version()),
                                  max_deltas},
                 now, out);
}

} // namespace

void start_fetch(state& duty, time_point now, actions& out)
{
    if (!duty.fetch.is_active)
        fetch_next(duty, now, out);
}

void on_scan_reply(state& duty, store::reply const& reply, time_point now,
                   actions& out)
{
    if (reply.result != store::status::ok)
        return on_fetch_failed(duty, now);
    std::uint64_t const version_before = duty.current->version();
    for (store::row const& row : reply.rows)
    {
        auto const entry = parse_delta(row.value);
        if (entry && entry->version <= duty.current->version())
            continue;
        if (!entry || !apply_delta(duty, *entry, out))
            break;
    }
    if (duty.current->version() == version_before)
        return on_fetch_failed(duty, now);
    on_version_increase(duty, now, out);
    fetch_next(duty, now, out);
}

void on_snapshot_reply(state& duty, store::reply const& reply, time_point now,
                       actions& out)
{
    if (reply.result != store::status::ok &&
        reply.result != store::status::not_found)
        return on_fetch_failed(duty, now);
    parse_result parsed;
    if (reply.result == store::status::ok &&
        duty.fetch.snapshot_version > duty.current->version())
        parsed = parse_document(reply.content, duty.fetch.snapshot_version);
    if (!parsed.data)
    {
        ++duty.fetch.unusable_snapshots;
        return fetch_next(duty, now, out);
    }
    duty.current = std::make_shared<tables const>(std::move(parsed.data));
    duty.history.clear();
    duty.history_bytes = 0;
    on_version_increase(duty, now, out);
    fetch_next(duty, now, out);
}

} // namespace gooseberrycove::config
