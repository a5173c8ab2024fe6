#include "config/store_era.hpp"

#include "config/versions.hpp"

#include <algorithm>

namespace gooseberrycove::config
{

namespace
{

/// Time for the daemons, which read the head once a second, to write lost
/// patches again.
constexpr duration commit_pause = std::chrono::seconds(3);

bool is_restoring(state const& duty)
{
    return std::ranges::any_of(
        duty.calls, [](store_call const& pending)
        { return pending.purpose == call_purpose::restore_patches; });
}

/// Whether the head of the store is a version that this daemon's history
/// continues. Another patch with the same version must not be overwritten.
bool continues_head(state const& duty)
{
    std::uint64_t const version = duty.current->version();
    std::uint64_t const stored = duty.head.value.version;
    if (version - stored > duty.history.size())
        return false;
    auto const found = std::ranges::find(duty.history, stored, &delta::version);
    return found == duty.history.end() ||
           found->patch_id == duty.head.value.patch_id;
}

} // namespace

void on_new_store_era(state& duty, time_point now, actions& out)
{
    out.log.push_back({true, event_line(event::store_restored)
                                 .field("duty", "config")
                                 .field("era", duty.era.era)
                                 .field("version", duty.current->version())});
    duty.is_store_restored = true;
    duty.document_revision = 0;
    duty.next_poll = now;
    duty.head = {};
    // A version that was reported only by the store may never exist again.
    // Peers that have it in force report it with their next packet.
    duty.highest_seen_version = duty.current->version();
    duty.reported_version = duty.current->version();
    duty.fetch = {};
    duty.commits_resume_at = now + commit_pause;
    std::erase_if(duty.calls,
                  [](store_call const& pending)
                  {
                      return pending.purpose == call_purpose::watch_document ||
                             pending.purpose == call_purpose::scan_patches ||
                             pending.purpose == call_purpose::get_snapshot ||
                             pending.purpose == call_purpose::restore_patches;
                  });
    stop_commit_of_earlier_era(duty, now, out);
}

void restore_patches(state& duty, time_point now, actions& out)
{
    bool const is_behind = duty.head.value.version < duty.current->version();
    // Otherwise a reply that was sent before the newest commit looks like a
    // loss.
    if (!duty.is_store_restored || !duty.is_ready || duty.commit ||
        !is_behind || is_restoring(duty) || !continues_head(duty))
        return;
    store::transaction write;
    write.conditions.push_back({std::string(head_key), duty.head.row_version});
    head_record head = duty.head.value;
    for (delta const& entry : duty.history)
    {
        if (entry.version <= duty.head.value.version ||
            write.puts.size() == max_deltas)
            continue;
        write.puts.push_back({patch_key(entry.version), render_delta(entry)});
        head = {entry.version, entry.patch_id};
    }
    write.puts.push_back({std::string(head_key), render_head(head)});
    add_call(duty, call_purpose::restore_patches, std::move(write), now, out);
}

void on_restore_reply(state& duty, store::reply const& reply, time_point now)
{
    // More patches may be missing, or another daemon has written them.
    if (reply.result == store::status::ok ||
        reply.result == store::status::condition_failed)
        duty.next_poll = now;
}

} // namespace gooseberrycove::config
