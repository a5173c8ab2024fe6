#include "members/members_thread.hpp"

#include "members/state.hpp"
#include <gooseberrycove/duty.hpp>

#include <algorithm>
#include <iterator>

namespace gooseberrycove::members
{

namespace
{

/// The sizes in the metrics are counted over all peers, so not on each tick.
constexpr duration size_period{1'000'000};

struct handler
{
    state& s;
    time_point now;
    actions& out;

    void operator()(std::monostate const&) const {}
    void operator()(announce_request const& what) const
    {
        on_announced(s, what, now, out);
    }
    void operator()(packet const& what) const { on_packet(s, what, now, out); }
    void operator()(sync const& what) const { on_sync(s, what, now, out); }
    void operator()(health::status_update const& what) const
    {
        on_verdict(s, what, now, out);
    }
    void operator()(server_load const& what) const
    {
        on_server_load(s, what, now, out);
    }
    void operator()(active_config_version const& what) const
    {
        on_own_version(s, what, now, out);
    }
    void operator()(list_request const& what) const
    {
        on_list_request(s, what, now, out);
    }
    void operator()(drain_request const& what) const
    {
        on_drain_request(s, what, now, out);
    }
    void operator()(store::reply const& what) const
    {
        on_store_reply(s, what, now, out);
    }
    void operator()(leave const& what) const { on_leave(s, what, now, out); }
};

/// Messages that a full ring refused. Packets, reports and versions are
/// repeated anyway; the others are kept and pushed again at the next tick.
struct backlog
{
    std::vector<service_view_ptr> views;
    std::vector<homed_server> homed;
    std::optional<config::live_peers> live_peers;
    std::optional<live_daemons> daemons;
    std::uint64_t dropped = 0;
};

/// Pushes in order and keeps what does not fit.
template <class Message, class Item>
void push_all(ring<Message>& to, std::vector<Item>& items)
{
    std::size_t sent = 0;
    while (sent < items.size() && to.try_push(Message(Item(items[sent]))))
        ++sent;
    items.erase(items.begin(),
                items.begin() + static_cast<std::ptrdiff_t>(sent));
}

template <class Message, class Item>
void push_latest(ring<Message>& to, std::optional<Item>& item)
{
    if (item && to.try_push(Message(Item(*item))))
        item.reset();
}

template <class Message, class Item>
void push_or_drop(ring<Message>& to, std::vector<Item>& items, backlog& kept)
{
    for (Item& item : items)
    {
        if (!to.try_push(Message(std::move(item))))
            ++kept.dropped;
    }
}

/// Moves the new items behind those that are still waiting.
template <class Item>
void append(std::vector<Item>& waiting, std::vector<Item>& fresh)
{
    std::ranges::move(fresh, std::back_inserter(waiting));
}

/// A view replaces an older one of the same service that still waits.
void append_views(backlog& kept, std::vector<service_view_ptr>& fresh)
{
    std::erase_if(kept.views,
                  [&](service_view_ptr const& old)
                  {
                      return std::ranges::any_of(
                          fresh, [&](service_view_ptr const& view)
                          { return view->service == old->service; });
                  });
    append(kept.views, fresh);
}

void perform(actions& out, backlog& kept, inbox& own, wiring const& to)
{
    for (event_line const& line : out.log)
        log_info(line);
    for (std::function<void()> const& reply : out.replies)
        reply();
    push_or_drop(*to.peer, out.to_peers, kept);
    push_or_drop(*to.health, out.siblings, kept);
    push_or_drop(*to.health, out.report_requests, kept);
    push_or_drop(*to.config, out.versions, kept);
    for (store::request& call : out.store)
    {
        call.deliver = [&own](store::reply&& reply)
        { own.try_push(std::move(reply)); };
        if (!to.store->try_push(std::move(call)))
            ++kept.dropped;
    }
    append_views(kept, out.views);
    append(kept.homed, out.homed);
    if (out.live_peers)
        kept.live_peers = std::move(out.live_peers);
    if (out.daemons)
        kept.daemons = std::move(out.daemons);
    push_all(*to.routing, kept.views);
    push_all(*to.admission, kept.homed);
    push_latest(*to.config, kept.live_peers);
    push_latest(*to.claims, kept.daemons);
}

void publish_sizes(state const& s, wiring const& to)
{
    if (!to.counts)
        return;
    auto const alive = std::ranges::count_if(
        s.peers, [](member const& item)
        { return item.record.state == peer_state::alive; });
    to.counts->set_members(static_cast<std::size_t>(alive) + 1, s.servers.used,
                           s.servers.by_service.size());
}

void log_dropped(backlog& kept)
{
    if (kept.dropped == 0)
        return;
    log_warning(event_line(event::ring_full)
                    .field("duty", "members")
                    .field("dropped", kept.dropped));
    kept.dropped = 0;
}

} // namespace

void run(inbox& requests, wiring const& to)
{
    state s = make_state(to.self, to.seeds, to.seed, clock_now());
    s.unix_start_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    actions out;
    backlog kept;
    time_point next_sizes;
    run_duty(
        requests,
        [&](message const& what, time_point now) {
            std::visit(handler{s, now, out}, what);
        },
        [&](time_point now)
        {
            time_point const next = on_tick(s, now, out);
            perform(out, kept, requests, to);
            out = actions{};
            log_dropped(kept);
            if (now >= next_sizes)
            {
                publish_sizes(s, to);
                next_sizes = now + size_period;
            }
            return next;
        });
}

} // namespace gooseberrycove::members
