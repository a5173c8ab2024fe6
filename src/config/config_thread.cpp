#include "config/config_thread.hpp"

#include "config/document.hpp"
#include "config/versions.hpp"
#include <gooseberrycove/duty.hpp>

#include <random>

namespace gooseberrycove::config
{

namespace
{

/// What the other duties were told last.
struct told
{
    tables_ptr routing;
    tables_ptr admission;
    std::optional<std::uint64_t> members{};
};

struct duty_thread
{
    inbox& messages;
    wiring const& to;
    state duty;
    told last{};
};

void log_dropped(std::string_view receiver)
{
    log_warning(event_line(event::ring_full).field("duty", receiver));
}

/// Tells the version in force to those that do not have it. A full ring is
/// tried again at the next tick.
void tell_version(duty_thread& self)
{
    tables_ptr const& current = self.duty.current;
    if (self.last.routing != current &&
        self.to.routing.try_push(in_force{current}))
        self.last.routing = current;
    if (self.last.admission != current &&
        self.to.admission.try_push(in_force{current}))
        self.last.admission = current;
    if (!self.duty.ready)
        return;
    self.to.ready.store(true);
    // Peers take a version as that of a ready daemon.
    std::uint64_t const version = current->version();
    if (self.to.counts)
        self.to.counts->set_config_version(version);
    if (self.last.members != version &&
        self.to.members.try_push(members::active_config_version{version}))
        self.last.members = version;
}

void call_store(duty_thread& self, store::request&& call, time_point now);

void perform(duty_thread& self, actions&& out, time_point now)
{
    for (log_line const& one : out.log)
    {
        if (one.warning)
            log_warning(one.line);
        else
            log_info(one.line);
    }
    tell_version(self);
    for (peer::outgoing& one : out.sends)
    {
        if (!self.to.peer.try_push(std::move(one), response_reserve))
            log_dropped("peer");
    }
    for (patch_answer& one : out.patches)
        one.asked.deliver(std::move(one.outcome));
    for (history_answer& one : out.histories)
        one.asked.deliver(std::move(one.list));
    for (store::request& one : out.calls)
        call_store(self, std::move(one), now);
}

void call_store(duty_thread& self, store::request&& call, time_point now)
{
    std::uint64_t const number = call.number;
    // A reply that finds no room is taken as unknown after call_limit.
    call.deliver = [&messages = self.messages](store::reply&& got)
    { messages.try_push(std::move(got)); };
    if (self.to.store.try_push(std::move(call)))
        return;
    log_dropped("store");
    actions out;
    on_store_reply(self.duty, {number, store::status::refused, {}, {}, 0}, now,
                   out);
    perform(self, std::move(out), now);
}

void handle(duty_thread& self, message& what, time_point now)
{
    actions out;
    state& duty = self.duty;
    if (auto* const asked = std::get_if<document_request>(&what))
        asked->deliver(duty.current->version(),
                       render_document(duty.current->data()));
    else if (auto const* patch = std::get_if<patch_request>(&what))
        on_patch(duty, *patch, now, out);
    else if (auto const* history = std::get_if<history_request>(&what))
        on_history(duty, *history, now, out);
    else if (auto const* version = std::get_if<peer_version>(&what))
        on_peer_version(duty, *version, now, out);
    else if (auto const* peers = std::get_if<live_peers>(&what))
        on_live_peers(duty, *peers, now, out);
    else if (auto const* pulled = std::get_if<pull>(&what))
        on_pull(duty, *pulled, now, out);
    else if (auto const* got = std::get_if<deltas>(&what))
        on_deltas(duty, *got, now, out);
    else if (auto const* reply = std::get_if<store::reply>(&what))
        on_store_reply(duty, *reply, now, out);
    perform(self, std::move(out), now);
}

std::uint64_t random_seed()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32) | source();
}

} // namespace

void run(inbox& messages, wiring const& to)
{
    duty_thread self{messages, to, {}};
    self.duty.own_address = to.own_address;
    self.duty.follows_document = to.follows_document;
    self.duty.random = random_seed();
    run_duty(
        messages,
        [&](message& what, time_point now) { handle(self, what, now); },
        [&](time_point now)
        {
            actions out;
            time_point const next = on_tick(self.duty, now, out);
            perform(self, std::move(out), now);
            return next;
        });
}

} // namespace gooseberrycove::config
