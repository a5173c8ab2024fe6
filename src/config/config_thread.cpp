#include "config/config_thread.hpp"

#include "config/document.hpp"
#include "config/versions.hpp"
#include <gooseberrycove/duty.hpp>

#include <random>

namespace gooseberrycove::config
{

namespace
{

/// What was last sent to each of the other duties.
struct sent_versions
{
    tables_ptr routing;
    bool is_current = false;
    tables_ptr admission;
    std::optional<std::uint64_t> members{};
    std::uint64_t members_era = 0;
    std::uint64_t claims_era = 0;
};

struct duty_thread
{
    inbox& messages;
    wiring const& wires;
    state duty;
    sent_versions last_sent{};
};

void log_dropped_message(std::string_view receiver)
{
    log_warning(event_line(event::ring_full).field("duty", receiver));
}

/// Sends the version in force to the duties that do not have it. When a ring is
/// full the next tick tries again.
void publish_version(duty_thread& thread, time_point now)
{
    tables_ptr const& current = thread.duty.current;
    bool const is_confirmed = is_current(thread.duty, now);
    if ((thread.last_sent.routing != current ||
         thread.last_sent.is_current != is_confirmed) &&
        thread.wires.routing.try_push(in_force{current, is_confirmed}))
    {
        thread.last_sent.routing = current;
        thread.last_sent.is_current = is_confirmed;
    }
    if (thread.last_sent.admission != current &&
        thread.wires.admission.try_push(in_force{current}))
        thread.last_sent.admission = current;
    std::uint64_t const era = thread.duty.era.era;
    if (thread.last_sent.claims_era != era &&
        thread.wires.claims.try_push(
            claims::store_era{era, thread.duty.is_store_restored}))
        thread.last_sent.claims_era = era;
    if (!thread.duty.is_ready)
        return;
    thread.wires.ready.store(true);
    // Peers treat a reported version as that of a ready daemon, so it is sent
    // only after the check above.
    std::uint64_t const version = current->version();
    if (thread.wires.counters)
        thread.wires.counters->set_config_version(
            version, thread.duty.entry_errors, thread.duty.counts);
    bool const is_sent = thread.last_sent.members == version &&
                         thread.last_sent.members_era == era;
    if (!is_sent && thread.wires.members.try_push(
                        members::active_config_version{version, era}))
    {
        thread.last_sent.members = version;
        thread.last_sent.members_era = era;
    }
}

void send_store_request(duty_thread& thread, store::request&& request,
                        time_point now);

void perform(duty_thread& thread, actions&& out, time_point now)
{
    for (log_line const& entry : out.log)
    {
        if (entry.is_warning)
            log_warning(entry.line);
        else
            log_info(entry.line);
    }
    publish_version(thread, now);
    for (peer::outgoing& unsent : out.sends)
    {
        if (!thread.wires.peer.try_push(std::move(unsent), response_reserve))
            log_dropped_message("peer");
    }
    for (patch_response& response : out.patch_responses)
        response.request.deliver(std::move(response.result));
    for (history_response& response : out.history_responses)
        response.request.deliver(std::move(response.entries));
    for (store::request& request : out.calls)
        send_store_request(thread, std::move(request), now);
}

void send_store_request(duty_thread& thread, store::request&& request,
                        time_point now)
{
    std::uint64_t const number = request.number;
    // A reply dropped by a full ring counts as unknown when the call is
    // abandoned.
    request.deliver = [&messages = thread.messages](store::reply&& reply)
    { messages.try_push(std::move(reply)); };
    if (thread.wires.store.try_push(std::move(request)))
        return;
    log_dropped_message("store");
    actions out;
    on_store_reply(thread.duty, {number, store::status::refused, {}, {}, 0},
                   now, out);
    perform(thread, std::move(out), now);
}

void handle(duty_thread& thread, message& incoming, time_point now)
{
    actions out;
    state& duty = thread.duty;
    if (auto* const request = std::get_if<document_request>(&incoming))
        request->deliver(duty.current->version(),
                         render_document(duty.current->data()));
    else if (auto const* patch = std::get_if<patch_request>(&incoming))
        on_patch(duty, *patch, now, out);
    else if (auto const* history = std::get_if<history_request>(&incoming))
        on_history(duty, *history, now, out);
    else if (auto const* version = std::get_if<peer_version>(&incoming))
        on_peer_version(duty, *version, now, out);
    else if (auto const* peers = std::get_if<live_peers>(&incoming))
        on_live_peers(duty, *peers, now, out);
    else if (auto const* pull_request = std::get_if<pull>(&incoming))
        on_pull(duty, *pull_request, now, out);
    else if (auto const* received = std::get_if<deltas>(&incoming))
        on_deltas(duty, *received, now, out);
    else if (auto const* reply = std::get_if<store::reply>(&incoming))
        on_store_reply(duty, *reply, now, out);
    perform(thread, std::move(out), now);
}

std::uint64_t random_seed()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32) | source();
}

} // namespace

void run(inbox& messages, wiring const& wires)
{
    duty_thread thread{messages, wires, {}};
    thread.duty.own_address = wires.own_address;
    thread.duty.follows_document = wires.follows_document;
    thread.duty.random_state = random_seed();
    run_duty(
        messages,
        [&](message& incoming, time_point now)
        { handle(thread, incoming, now); },
        [&](time_point now)
        {
            actions out;
            time_point const next = on_tick(thread.duty, now, out);
            perform(thread, std::move(out), now);
            return next;
        });
}

} // namespace gooseberrycove::config
