#include "config/document.hpp"
#include "config/versions.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::config
{

namespace
{

/// Time for a patch until its outcome is reported as unknown.
constexpr duration commit_limit = std::chrono::seconds(10);

/// Time between two attempts to settle a lost reply.
constexpr duration settle_interval = std::chrono::milliseconds(250);

/// The newest patches after \p version, at most max_deltas.
std::vector<delta> patches_since(state const& duty, std::uint64_t version)
{
    std::vector<delta> result;
    for (delta const& one : duty.history)
    {
        if (one.version > version)
            result.push_back(one);
    }
    if (result.size() > max_deltas)
        result.erase(result.begin(), result.end() - max_deltas);
    return result;
}

void answer(state& duty, patch_request asked, patch_result outcome,
            actions& out)
{
    outcome.version =
        outcome.version ? outcome.version : duty.current->version();
    bool const done = outcome.kind == error_kind::none;
    out.log.push_back(
        {!done, event_line(done ? event::config_patch_committed
                                : event::config_patch_refused)
                    .field("patch_id", asked.patch_id)
                    .field("author", asked.author)
                    .field("base", asked.base_version)
                    .field("version", outcome.version)
                    .field("kind", error_response_for(outcome.kind).name)
                    .field("detail", outcome.detail)});
    out.patches.push_back({std::move(asked), std::move(outcome)});
}

/// Answers the patch in progress and takes the next one.
void finish(state& duty, patch_result outcome, time_point now, actions& out)
{
    patch_request asked = std::move(duty.committing->asked);
    duty.committing.reset();
    answer(duty, std::move(asked), std::move(outcome), out);
    start_next_patch(duty, now, out);
}

void refuse(state& duty, error_kind kind, std::string detail, time_point now,
            actions& out)
{
    patch_result outcome;
    outcome.kind = kind;
    outcome.detail = std::move(detail);
    if (kind == error_kind::stale_version)
        outcome.patches_since_base =
            patches_since(duty, duty.committing->asked.base_version);
    finish(duty, std::move(outcome), now, out);
}

/// The patch as it is in force, when it is. The text is compared too, because
/// an operator may use an id twice.
delta const* find_patch(state const& duty, patch_request const& asked)
{
    auto const found = std::find_if(duty.history.begin(), duty.history.end(),
                                    [&](delta const& one) {
                                        return one.patch_id == asked.patch_id &&
                                               one.patch == asked.patch;
                                    });
    return found == duty.history.end() ? nullptr : &*found;
}

delta delta_of(patch_request const& asked)
{
    return {asked.base_version + 1, asked.patch_id, asked.author, asked.patch};
}

void send_write(state& duty, time_point now, actions& out)
{
    commit& patch = *duty.committing;
    delta const next = delta_of(patch.asked);
    patch.transaction = {
        {{std::string(head_key), duty.head.row_version}},
        {{std::string(head_key), render_head({next.version, next.patch_id})},
         {patch_key(next.version), render_delta(next)}},
        {}};
    patch.step = commit_step::write;
    patch.call = add_call(duty, purpose::write, patch.transaction, now, out);
}

void catch_up(state& duty, time_point now, actions& out)
{
    duty.committing->step = commit_step::catch_up;
    duty.fetch.not_before = now;
    start_fetch(duty, now, out);
}

void read_head(state& duty, time_point now, actions& out)
{
    duty.committing->step = commit_step::read_head;
    duty.committing->call =
        add_call(duty, purpose::read_head,
                 store::get_row{std::string(head_key)}, now, out);
}

/// Validates the patch against the version in force and starts the write.
void begin_commit(state& duty, time_point now, actions& out)
{
    patch_request const& asked = duty.committing->asked;
    parsed result =
        apply_patch(duty.current->data(), asked.patch, asked.base_version + 1);
    if (!result.data)
    {
        patch_result outcome;
        outcome.kind = error_kind::invalid_patch;
        outcome.errors = std::move(result.faults);
        return finish(duty, std::move(outcome), now, out);
    }
    duty.committing->next = std::move(result.data);
    if (duty.head.known && duty.head.value.version == asked.base_version)
        send_write(duty, now, out);
    else
        read_head(duty, now, out);
}

/// Puts the committed patch into force.
void committed(state& duty, time_point now, actions& out)
{
    commit& patch = *duty.committing;
    delta const next = delta_of(patch.asked);
    duty.current = std::make_shared<tables const>(patch.next);
    duty.history.push_back(next);
    duty.history_bytes += next.patch.size();
    if (next.version % snapshot_interval == 0)
        duty.snapshot = pending_snapshot{duty.current, 0, now};
    // Answers the patch, because it is in the history now.
    on_risen(duty, now, out);
}

void write_failed(state& duty, time_point now, actions& out)
{
    commit& patch = *duty.committing;
    std::uint64_t const base = patch.asked.base_version;
    head const& seen = duty.head.value;
    // The patch read from the store decides whether it is this one. The id in
    // the head is not enough, since an operator may use an id twice.
    if (seen.version > base)
        return catch_up(duty, now, out);
    // The head was written again with the same version. Without a newer row
    // the store holds an older one than was read before.
    bool const newer_row =
        duty.head.row_version > patch.transaction.conditions[0].version;
    if (seen.version == base && newer_row && !patch.ambiguous)
        return send_write(duty, now, out);
    if (patch.ambiguous)
        return refuse(duty, error_kind::internal,
                      "the store lost the version that this patch is based on",
                      now, out);
    refuse(duty, error_kind::store_unavailable,
           "the store holds an older version than this daemon", now, out);
}

void retry_later(state& duty, time_point now)
{
    duty.committing->step = commit_step::settle;
    duty.committing->retry_at = now + settle_interval;
}

} // namespace

void on_patch(state& duty, patch_request const& asked, time_point now,
              actions& out)
{
    patch_request patch = asked;
    if (patch.patch_id.empty())
        patch.patch_id =
            fmt::format("{:016x}{:016x}", next_random(duty), next_random(duty));
    patch_result outcome;
    if (!duty.ready)
    {
        outcome.kind = error_kind::store_unavailable;
        outcome.detail = "this daemon does not hold a configuration yet";
    }
    else if (duty.waiting.size() >= max_waiting)
    {
        outcome.kind = error_kind::overloaded;
        outcome.detail = "too many patches wait";
    }
    if (outcome.kind != error_kind::none)
        return answer(duty, std::move(patch), std::move(outcome), out);
    duty.waiting.push_back(std::move(patch));
    start_next_patch(duty, now, out);
}

void start_next_patch(state& duty, time_point now, actions& out)
{
    if (duty.committing || duty.waiting.empty())
        return;
    duty.committing.emplace();
    duty.committing->asked = std::move(duty.waiting.front());
    duty.waiting.pop_front();
    duty.committing->deadline = now + commit_limit;
    std::uint64_t const base = duty.committing->asked.base_version;
    std::uint64_t const version = duty.current->version();
    if (base == version)
        return begin_commit(duty, now, out);
    if (base > version)
        return read_head(duty, now, out);
    settle_by_history(duty, now, out);
}

void settle_by_history(state& duty, time_point now, actions& out)
{
    if (!duty.committing)
        return;
    patch_request const& asked = duty.committing->asked;
    std::uint64_t const version = duty.current->version();
    if (delta const* const found = find_patch(duty, asked))
    {
        patch_result outcome;
        outcome.version = found->version;
        return finish(duty, std::move(outcome), now, out);
    }
    if (asked.base_version > version)
        return;
    if (asked.base_version == version)
    {
        // Not again while a write is under way.
        if (duty.committing->step == commit_step::catch_up)
            begin_commit(duty, now, out);
        return;
    }
    bool const complete = version - asked.base_version <= duty.history.size();
    bool const maybe_written = duty.committing->ambiguous ||
                               duty.committing->step == commit_step::write;
    if (maybe_written && !complete)
        return refuse(duty, error_kind::internal,
                      "the patch may or may not be in force", now, out);
    refuse(duty, error_kind::stale_version,
           fmt::format("version {} is in force", version), now, out);
}

void on_head_for_commit(state& duty, store::reply const& got, time_point now,
                        actions& out)
{
    if (!duty.committing || duty.committing->call != got.number)
        return;
    if (got.result != store::status::ok &&
        got.result != store::status::not_found)
        return refuse(duty, error_kind::store_unavailable,
                      "the store does not answer", now, out);
    record_head(duty, got.rows.empty() ? store::row{} : got.rows[0], out);
    std::uint64_t const base = duty.committing->asked.base_version;
    std::uint64_t const stored = duty.head.value.version;
    std::uint64_t const version = duty.current->version();
    if (stored > version)
        return catch_up(duty, now, out);
    if (stored == base && base == version)
        return send_write(duty, now, out);
    if (base > version)
        return refuse(duty, error_kind::stale_version,
                      fmt::format("version {} is in force", version), now, out);
    refuse(duty, error_kind::store_unavailable,
           "the store holds an older version than this daemon", now, out);
}

void on_write_reply(state& duty, store::reply const& got, time_point now,
                    actions& out)
{
    if (!duty.committing || duty.committing->call != got.number)
        return;
    commit& patch = *duty.committing;
    switch (got.result)
    {
    case store::status::ok:
        for (store::row const& row : got.rows)
        {
            if (row.key == head_key)
                duty.head = {
                    true,
                    row.version,
                    {patch.asked.base_version + 1, patch.asked.patch_id}};
        }
        return committed(duty, now, out);
    case store::status::condition_failed:
        for (store::row const& row : got.rows)
        {
            if (row.key == head_key)
                record_head(duty, row, out);
        }
        return write_failed(duty, now, out);
    case store::status::unknown:
        if (!patch.ambiguous)
            out.log.push_back(
                {true, event_line(event::config_ambiguous)
                           .field("patch_id", patch.asked.patch_id)
                           .field("base", patch.asked.base_version)});
        patch.ambiguous = true;
        return retry_later(duty, now);
    case store::status::refused:
    case store::status::not_found:
    case store::status::history_lost:
        if (patch.ambiguous)
            return retry_later(duty, now);
        return refuse(duty, error_kind::store_unavailable,
                      "the store refused the write", now, out);
    }
}

void tick_commit(state& duty, time_point now, actions& out)
{
    if (!duty.committing)
        return;
    commit& patch = *duty.committing;
    bool const late = now >= patch.deadline;
    if (patch.step == commit_step::catch_up && late && !patch.ambiguous)
        return refuse(duty, error_kind::store_unavailable,
                      "a newer version exists but cannot be read", now, out);
    if (late && patch.ambiguous && patch.step != commit_step::write)
        return refuse(duty, error_kind::internal,
                      "the patch may or may not be in force", now, out);
    if (patch.step != commit_step::settle || now < patch.retry_at)
        return;
    // The same transaction with the same condition: it takes effect at most
    // once, and its answer tells whether the lost one did. Reading alone would
    // not tell, since a lost write may still be on its way.
    patch.step = commit_step::write;
    patch.call = add_call(duty, purpose::write, patch.transaction, now, out);
}

} // namespace gooseberrycove::config
