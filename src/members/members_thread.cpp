#include "members/members_thread.hpp"

#include "members/state.hpp"
#include <gooseberrycove/duty.hpp>

#include <algorithm>
#include <iterator>
#include <map>

namespace gooseberrycove::members
{

namespace
{

/// The metrics are counted over all peers, so they are not updated on each
/// tick.
constexpr duration metrics_period{1'000'000};

/// Minimum time between views of a service for admission.
constexpr duration admission_view_period{200'000};

struct handler
{
    membership_state& state;
    time_point now;
    actions& out;

    void operator()(std::monostate const&) const {}
    void operator()(announce_request const& request) const
    {
        on_announce_request(state, request, now, out);
    }
    void operator()(packet const& received) const
    {
        on_packet(state, received, now, out);
    }
    void operator()(sync const& received) const
    {
        on_sync(state, received, now, out);
    }
    void operator()(health::status_update const& update) const
    {
        on_status_update(state, update, now, out);
    }
    void operator()(server_load const& load) const
    {
        on_server_load(state, load, now, out);
    }
    void operator()(active_config_version const& active) const
    {
        on_active_config_version(state, active, now, out);
    }
    void operator()(list_request const& request) const
    {
        on_list_request(state, request, now, out);
    }
    void operator()(drain_request const& request) const
    {
        on_drain_request(state, request, now, out);
    }
    void operator()(store::reply const& reply) const
    {
        on_store_reply(state, reply, now, out);
    }
    void operator()(leave const& request) const
    {
        on_leave(state, request, now, out);
    }
};

/// Messages that are kept while their ring is full and pushed again at the next
/// tick. Packets, reports and versions are dropped instead and counted, because
/// later ones repeat their content.
struct pending_messages
{
    std::vector<service_view_ptr> views;
    /// For admission, by service.
    std::map<std::string, service_view_ptr> admission_views;
    time_point next_admission_views;
    std::vector<homed_server> homed_changes;
    std::optional<config::live_peers> live_peers;
    std::optional<live_daemons> daemons;
    std::optional<account_limit::fleet> fleet;
    std::uint64_t dropped = 0;
};

/// Pushes items in order until the ring is full, and keeps the rest.
template <class Message, class Item>
void push_all(ring<Message>& target, std::vector<Item>& items)
{
    std::size_t sent = 0;
    while (sent < items.size() && target.try_push(Message(Item(items[sent]))))
        ++sent;
    items.erase(items.begin(),
                items.begin() + static_cast<std::ptrdiff_t>(sent));
}

template <class Message, class Item>
void push_latest(ring<Message>& target, std::optional<Item>& item)
{
    if (item && target.try_push(Message(Item(*item))))
        item.reset();
}

template <class Message, class Item>
void push_or_drop(ring<Message>& target, std::vector<Item>& items,
                  pending_messages& pending)
{
    for (Item& item : items)
    {
        if (!target.try_push(Message(std::move(item))))
            ++pending.dropped;
    }
}

/// Moves the added items behind those that are still pending.
template <class Item>
void append(std::vector<Item>& pending, std::vector<Item>& added)
{
    std::ranges::move(added, std::back_inserter(pending));
}

/// A view replaces a pending older one of the same service.
void append_views(pending_messages& pending,
                  std::vector<service_view_ptr>& added)
{
    std::erase_if(pending.views,
                  [&](service_view_ptr const& older)
                  {
                      return std::ranges::any_of(
                          added, [&](service_view_ptr const& view)
                          { return view->service == older->service; });
                  });
    append(pending.views, added);
}

/// Sends the last view of each service with a server homed here. A view that
/// finds the ring full is dropped, because a later one replaces it.
void send_admission_views(std::vector<service_view_ptr> const& views,
                          pending_messages& pending, wiring const& setup,
                          time_point now)
{
    if (!setup.sends_views_to_admission)
        return;
    for (service_view_ptr const& view : views)
    {
        if (std::ranges::any_of(view->candidates,
                                [&](candidate const& one) {
                                    return one.home == setup.own_record.daemon;
                                }))
            pending.admission_views[view->service] = view;
    }
    if (now < pending.next_admission_views || pending.admission_views.empty())
        return;
    pending.next_admission_views = now + admission_view_period;
    for (auto& [service, view] : pending.admission_views)
    {
        if (!setup.admission->try_push(std::move(view)))
            ++pending.dropped;
    }
    pending.admission_views.clear();
}

void perform_actions(actions& out, pending_messages& pending,
                     inbox& members_inbox, wiring const& setup, time_point now)
{
    send_admission_views(out.views, pending, setup, now);
    for (event_line const& line : out.log)
        log_info(line);
    for (std::function<void()> const& reply : out.replies)
        reply();
    push_or_drop(*setup.peer, out.to_peers, pending);
    push_or_drop(*setup.health, out.sibling_reports, pending);
    push_or_drop(*setup.health, out.report_requests, pending);
    push_or_drop(*setup.config, out.peer_versions, pending);
    for (store::request& request : out.store_requests)
    {
        request.deliver = [&members_inbox](store::reply&& reply)
        { members_inbox.try_push(std::move(reply)); };
        if (!setup.store->try_push(std::move(request)))
            ++pending.dropped;
    }
    append_views(pending, out.views);
    append(pending.homed_changes, out.homed_changes);
    if (out.live_peers)
        pending.live_peers = std::move(out.live_peers);
    if (out.daemons)
        pending.daemons = std::move(out.daemons);
    if (out.fleet && setup.account_limit)
        pending.fleet = std::move(out.fleet);
    push_all(*setup.routing, pending.views);
    push_all(*setup.admission, pending.homed_changes);
    push_latest(*setup.config, pending.live_peers);
    push_latest(*setup.claims, pending.daemons);
    if (setup.account_limit)
        push_latest(*setup.account_limit, pending.fleet);
}

void publish_metrics(membership_state const& state, wiring const& setup)
{
    if (!setup.counts)
        return;
    auto const alive = std::ranges::count_if(
        state.peers, [](member const& peer)
        { return peer.record.state == peer_state::alive; });
    setup.counts->set_members(static_cast<std::size_t>(alive) + 1,
                              state.servers.used_entries,
                              state.servers.by_service.size());
}

void log_dropped(pending_messages& pending)
{
    if (pending.dropped == 0)
        return;
    log_warning(event_line(event::ring_full)
                    .field("duty", "members")
                    .field("dropped", pending.dropped));
    pending.dropped = 0;
}

} // namespace

void run(inbox& requests, wiring const& setup)
{
    membership_state state =
        make_state(setup.own_record, setup.seeds, setup.seed, clock_now());
    state.unix_start_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    actions out;
    pending_messages pending;
    time_point next_metrics;
    run_duty(
        requests,
        [&](message const& received, time_point now) {
            std::visit(handler{state, now, out}, received);
        },
        [&](time_point now)
        {
            time_point const next = on_tick(state, now, out);
            perform_actions(out, pending, requests, setup, now);
            out = actions{};
            log_dropped(pending);
            if (now >= next_metrics)
            {
                publish_metrics(state, setup);
                next_metrics = now + metrics_period;
            }
            return next;
        });
}

} // namespace gooseberrycove::members
