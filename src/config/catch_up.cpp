#include "config/document.hpp"
#include "config/versions.hpp"

namespace gooseberrycove::config
{

namespace
{

/// With more versions missing than this a snapshot is read first.
constexpr std::uint64_t snapshot_gap = 4 * snapshot_interval;

/// Snapshots tried, from the latest on, before patches are read one by one.
/// A snapshot is missing when its writer stopped before it wrote it.
constexpr int max_missing_snapshots = 8;

constexpr duration fetch_retry = std::chrono::seconds(1);

/// Latest snapshot that helps and was not tried yet, or 0.
std::uint64_t next_snapshot(state const& duty)
{
    std::uint64_t const version = duty.current->version();
    std::uint64_t const latest = duty.head.value.version;
    // While a patch is being committed its successor must appear in the
    // history, which a snapshot would replace.
    if (duty.committing || latest - version <= snapshot_gap ||
        duty.fetch.missing >= max_missing_snapshots)
        return 0;
    std::uint64_t const skipped =
        static_cast<std::uint64_t>(duty.fetch.missing) * snapshot_interval;
    std::uint64_t const chosen = latest - latest % snapshot_interval;
    return chosen > version + skipped ? chosen - skipped : 0;
}

void fetch_failed(state& duty, time_point now)
{
    duty.fetch.active = false;
    duty.fetch.not_before = now + fetch_retry;
}

void fetch_next(state& duty, time_point now, actions& out)
{
    duty.fetch.active = duty.head.value.version > duty.current->version();
    if (!duty.fetch.active)
    {
        duty.fetch.missing = 0;
        return;
    }
    duty.fetch.snapshot = next_snapshot(duty);
    if (duty.fetch.snapshot > 0)
        add_call(duty, purpose::get_snapshot,
                 store::get_object{snapshot_name(duty.fetch.snapshot)}, now,
                 out);
    else
        add_call(duty, purpose::scan,
                 store::scan_rows{std::string(patch_prefix),
                                  patch_key(duty.current->version()),
                                  max_deltas},
                 now, out);
}

} // namespace

void start_fetch(state& duty, time_point now, actions& out)
{
    if (!duty.fetch.active)
        fetch_next(duty, now, out);
}

void on_scan_reply(state& duty, store::reply const& got, time_point now,
                   actions& out)
{
    if (got.result != store::status::ok)
        return fetch_failed(duty, now);
    std::uint64_t const before = duty.current->version();
    for (store::row const& row : got.rows)
    {
        auto const next = parse_delta(row.value);
        if (next && next->version <= duty.current->version())
            continue;
        if (!next || !apply_delta(duty, *next, out))
            break;
    }
    if (duty.current->version() == before)
        return fetch_failed(duty, now);
    on_risen(duty, now, out);
    fetch_next(duty, now, out);
}

void on_snapshot_reply(state& duty, store::reply const& got, time_point now,
                       actions& out)
{
    if (got.result != store::status::ok &&
        got.result != store::status::not_found)
        return fetch_failed(duty, now);
    parsed result;
    if (got.result == store::status::ok &&
        duty.fetch.snapshot > duty.current->version())
        result = parse_document(got.content, duty.fetch.snapshot);
    if (!result.data)
    {
        ++duty.fetch.missing;
        return fetch_next(duty, now, out);
    }
    duty.current = std::make_shared<tables const>(std::move(result.data));
    duty.history.clear();
    duty.history_bytes = 0;
    on_risen(duty, now, out);
    fetch_next(duty, now, out);
}

} // namespace gooseberrycove::config
