#include "config/document.hpp"
#include "config/versions.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::config
{

namespace
{

/// Time limit of a commit, after which it fails or its result is reported as
/// unknown.
constexpr duration commit_time_limit = std::chrono::seconds(10);

/// Time between two attempts of a write whose reply was lost.
constexpr duration write_retry_interval = std::chrono::milliseconds(250);

/// The newest patches after \p version, at most max_deltas.
std::vector<delta> patches_since(state const& duty, std::uint64_t version)
{
    std::vector<delta> patches;
    for (delta const& entry : duty.history)
    {
        if (entry.version > version)
            patches.push_back(entry);
    }
    if (patches.size() > max_deltas)
        patches.erase(patches.begin(), patches.end() - max_deltas);
    return patches;
}

void respond(state& duty, patch_request request, patch_result result,
             actions& out)
{
    result.version = result.version ? result.version : duty.current->version();
    bool const is_committed = result.kind == error_kind::none;
    out.log.push_back(
        {!is_committed, event_line(is_committed ? event::config_patch_committed
                                                : event::config_patch_refused)
                            .field("patch_id", request.patch_id)
                            .field("author", request.author)
                            .field("base", request.base_version)
                            .field("version", result.version)
                            .field("kind", error_response_for(result.kind).name)
                            .field("detail", result.detail)});
    out.patch_responses.push_back({std::move(request), std::move(result)});
}

/// Responds to the patch in progress and starts the next one.
void finish_patch(state& duty, patch_result result, time_point now,
                  actions& out)
{
    patch_request request = std::move(duty.commit->request);
    duty.commit.reset();
    respond(duty, std::move(request), std::move(result), out);
    start_next_patch(duty, now, out);
}

void refuse_patch(state& duty, error_kind kind, std::string detail,
                  time_point now, actions& out)
{
    patch_result result;
    result.kind = kind;
    result.detail = std::move(detail);
    if (kind == error_kind::stale_version)
        result.patches_since_base =
            patches_since(duty, duty.commit->request.base_version);
    finish_patch(duty, std::move(result), now, out);
}

/// Finds the requested patch in the history, or returns nullptr. The text is
/// compared too, because an operator may use an id twice.
delta const* find_committed_patch(state const& duty,
                                  patch_request const& request)
{
    auto const found =
        std::find_if(duty.history.begin(), duty.history.end(),
                     [&](delta const& entry) {
                         return entry.patch_id == request.patch_id &&
                                entry.patch == request.patch;
                     });
    return found == duty.history.end() ? nullptr : &*found;
}

delta make_delta(patch_request const& request)
{
    return {request.base_version + 1, request.patch_id, request.author,
            request.patch};
}

void send_write(state& duty, time_point now, actions& out)
{
    commit_state& commit = *duty.commit;
    delta const next = make_delta(commit.request);
    commit.transaction = {
        {{std::string(head_key), duty.head.row_version}},
        {{std::string(head_key), render_head({next.version, next.patch_id})},
         {patch_key(next.version), render_delta(next)}},
        {}};
    commit.step = commit_step::write;
    commit.call_number =
        add_call(duty, call_purpose::write, commit.transaction, now, out);
}

void catch_up(state& duty, time_point now, actions& out)
{
    duty.commit->step = commit_step::catch_up;
    duty.fetch.not_before = now;
    start_fetch(duty, now, out);
}

void read_head(state& duty, time_point now, actions& out)
{
    duty.commit->step = commit_step::read_head;
    duty.commit->call_number =
        add_call(duty, call_purpose::read_head,
                 store::get_row{std::string(head_key)}, now, out);
}

/// Validates the patch against the version in force and starts the write.
void begin_commit(state& duty, time_point now, actions& out)
{
    patch_request const& request = duty.commit->request;
    parse_result parsed = apply_patch(duty.current->data(), request.patch,
                                      request.base_version + 1);
    if (!parsed.data)
    {
        patch_result result;
        result.kind = error_kind::invalid_patch;
        result.errors = std::move(parsed.errors);
        return finish_patch(duty, std::move(result), now, out);
    }
    duty.commit->next_data = std::move(parsed.data);
    if (duty.head.is_read && duty.head.value.version == request.base_version)
        send_write(duty, now, out);
    else
        read_head(duty, now, out);
}

/// Puts the committed patch into force.
void apply_committed_patch(state& duty, time_point now, actions& out)
{
    commit_state& commit = *duty.commit;
    delta const next = make_delta(commit.request);
    duty.current = std::make_shared<tables const>(commit.next_data);
    duty.history.push_back(next);
    duty.history_bytes += next.patch.size();
    if (next.version % snapshot_interval == 0)
        duty.snapshot = pending_snapshot{duty.current, 0, now};
    // Also responds to the patch, because it is in the history now.
    on_version_increase(duty, now, out);
}

void on_write_conflict(state& duty, time_point now, actions& out)
{
    commit_state& commit = *duty.commit;
    std::uint64_t const base = commit.request.base_version;
    head_record const& stored = duty.head.value;
    // The text of the patch stored for the next version shows whether the
    // patch in progress was committed. The id alone does not show it, since an
    // operator may use an id twice.
    if (stored.version > base)
        return catch_up(duty, now, out);
    // A newer row with the same version means that the head was written again.
    // Otherwise the store holds an older row than was read before.
    bool const is_newer_row =
        duty.head.row_version > commit.transaction.conditions[0].version;
    if (stored.version == base && is_newer_row && !commit.is_ambiguous)
        return send_write(duty, now, out);
    if (commit.is_ambiguous)
        return refuse_patch(
            duty, error_kind::internal,
            "the store lost the version that this patch is based on", now, out);
    refuse_patch(duty, error_kind::store_unavailable,
                 "the store holds an older version than this daemon", now, out);
}

void schedule_write_retry(state& duty, time_point now)
{
    duty.commit->step = commit_step::await_retry;
    duty.commit->retry_at = now + write_retry_interval;
}

} // namespace

void on_patch(state& duty, patch_request const& request, time_point now,
              actions& out)
{
    patch_request queued = request;
    if (queued.patch_id.empty())
        queued.patch_id =
            fmt::format("{:016x}{:016x}", next_random(duty), next_random(duty));
    patch_result result;
    if (!duty.is_ready)
    {
        result.kind = error_kind::store_unavailable;
        result.detail = "this daemon has no configuration yet";
    }
    else if (duty.queued_patches.size() >= max_queued_patches)
    {
        result.kind = error_kind::overloaded;
        result.detail = "too many patches are queued";
    }
    if (result.kind != error_kind::none)
        return respond(duty, std::move(queued), std::move(result), out);
    duty.queued_patches.push_back(std::move(queued));
    start_next_patch(duty, now, out);
}

void start_next_patch(state& duty, time_point now, actions& out)
{
    if (duty.commit || duty.queued_patches.empty() ||
        now < duty.commits_resume_at)
        return;
    duty.commit.emplace();
    duty.commit->request = std::move(duty.queued_patches.front());
    duty.queued_patches.pop_front();
    duty.commit->deadline = now + commit_time_limit;
    std::uint64_t const base = duty.commit->request.base_version;
    std::uint64_t const version = duty.current->version();
    if (base == version)
        return begin_commit(duty, now, out);
    if (base > version)
        return read_head(duty, now, out);
    resolve_from_history(duty, now, out);
}

void resolve_from_history(state& duty, time_point now, actions& out)
{
    if (!duty.commit)
        return;
    patch_request const& request = duty.commit->request;
    std::uint64_t const version = duty.current->version();
    if (delta const* const found = find_committed_patch(duty, request))
    {
        patch_result result;
        result.version = found->version;
        return finish_patch(duty, std::move(result), now, out);
    }
    if (request.base_version > version)
        return;
    if (request.base_version == version)
    {
        // A write in progress is not sent again.
        if (duty.commit->step == commit_step::catch_up)
            begin_commit(duty, now, out);
        return;
    }
    bool const has_full_history =
        version - request.base_version <= duty.history.size();
    bool const may_be_written =
        duty.commit->is_ambiguous || duty.commit->step == commit_step::write;
    if (may_be_written && !has_full_history)
        return refuse_patch(duty, error_kind::internal,
                            "the patch may or may not be in force", now, out);
    refuse_patch(duty, error_kind::stale_version,
                 fmt::format("version {} is in force", version), now, out);
}

void on_head_for_commit(state& duty, store::reply const& reply, time_point now,
                        actions& out)
{
    if (!duty.commit || duty.commit->call_number != reply.number)
        return;
    if (reply.result != store::status::ok &&
        reply.result != store::status::not_found)
        return refuse_patch(duty, error_kind::store_unavailable,
                            "the current version cannot be read from the store",
                            now, out);
    record_head(duty, reply.rows.empty() ? store::row{} : reply.rows[0], out);
    std::uint64_t const base = duty.commit->request.base_version;
    std::uint64_t const stored = duty.head.value.version;
    std::uint64_t const version = duty.current->version();
    if (stored > version)
        return catch_up(duty, now, out);
    // A patch for a version that came into force during the read is not yet
    // validated.
    if (stored == base && base == version)
        return duty.commit->next_data ? send_write(duty, now, out)
                                      : begin_commit(duty, now, out);
    if (base > version)
        return refuse_patch(duty, error_kind::stale_version,
                            fmt::format("version {} is in force", version), now,
                            out);
    refuse_patch(duty, error_kind::store_unavailable,
                 "the store holds an older version than this daemon", now, out);
}

void on_write_reply(state& duty, store::reply const& reply, time_point now,
                    actions& out)
{
    if (!duty.commit || duty.commit->call_number != reply.number)
        return;
    commit_state& commit = *duty.commit;
    switch (reply.result)
    {
    case store::status::ok:
        for (store::row const& row : reply.rows)
        {
            if (row.key == head_key)
                duty.head = {
                    true,
                    row.version,
                    {commit.request.base_version + 1, commit.request.patch_id}};
        }
        return apply_committed_patch(duty, now, out);
    case store::status::condition_failed:
        for (store::row const& row : reply.rows)
        {
            if (row.key == head_key)
                record_head(duty, row, out);
        }
        return on_write_conflict(duty, now, out);
    case store::status::unknown:
        if (!commit.is_ambiguous)
            out.log.push_back(
                {true, event_line(event::config_ambiguous)
                           .field("patch_id", commit.request.patch_id)
                           .field("base", commit.request.base_version)});
        commit.is_ambiguous = true;
        return schedule_write_retry(duty, now);
    case store::status::refused:
    case store::status::not_found:
    case store::status::history_lost:
        if (commit.is_ambiguous)
            return schedule_write_retry(duty, now);
        return refuse_patch(duty, error_kind::store_unavailable,
                            "the store refused the write", now, out);
    }
}

void stop_commit_of_earlier_era(state& duty, time_point now, actions& out)
{
    if (!duty.commit)
        return;
    bool const may_be_written =
        duty.commit->is_ambiguous || duty.commit->step == commit_step::write;
    refuse_patch(duty,
                 may_be_written ? error_kind::internal
                                : error_kind::store_unavailable,
                 may_be_written ? "the patch may or may not be in force"
                                : "the store was restored from a copy",
                 now, out);
}

void tick_commit(state& duty, time_point now, actions& out)
{
    // A patch waits in the queue after the store was restored from a copy.
    start_next_patch(duty, now, out);
    if (!duty.commit)
        return;
    commit_state& commit = *duty.commit;
    bool const is_overdue = now >= commit.deadline;
    if (commit.step == commit_step::catch_up && is_overdue &&
        !commit.is_ambiguous)
        return refuse_patch(duty, error_kind::store_unavailable,
                            "a newer version exists but cannot be read", now,
                            out);
    if (is_overdue && commit.is_ambiguous && commit.step != commit_step::write)
        return refuse_patch(duty, error_kind::internal,
                            "the patch may or may not be in force", now, out);
    if (commit.step != commit_step::await_retry || now < commit.retry_at)
        return;
    // The same transaction with the same condition takes effect at most once,
    // and its reply shows whether the earlier write did. A read would not show
    // it, since the earlier write may still be in transit.
    commit.step = commit_step::write;
    commit.call_number =
        add_call(duty, call_purpose::write, commit.transaction, now, out);
}

} // namespace gooseberrycove::config
