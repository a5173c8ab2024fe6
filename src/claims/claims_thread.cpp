#include "claims/claims_thread.hpp"

#include "claims/state.hpp"
#include <gooseberrycove/duty.hpp>

#include <deque>

namespace gooseberrycove::claims
{

namespace
{

struct handler
{
    claims_state& state;
    time_point now;
    actions& out;

    void operator()(std::monostate const&) const {}
    void operator()(claim_request const& request) const
    {
        on_claim_request(state, request, now, out);
    }
    void operator()(claim_end const& end) const
    {
        on_claim_end(state, end, now, out);
    }
    void operator()(fence_response const& response) const
    {
        on_fence_response(state, response, now, out);
    }
    void operator()(members::live_daemons const& update) const
    {
        on_live_daemons(state, update, now, out);
    }
    void operator()(mint_request const& request) const
    {
        on_mint_request(state, request, now, out);
    }
    void operator()(state_request const& request) const
    {
        on_state_request(state, request, now, out);
    }
    void operator()(store_era const& seen) const
    {
        on_store_era(state, seen, now, out);
    }
    void operator()(store::reply const& reply) const
    {
        on_store_reply(state, reply, now, out);
    }
};

/// Messages for routing that found its ring full. They are never dropped; their
/// number is bounded by the requests for which routing waits.
struct pending_results
{
    std::deque<routing::message> messages;
};

/// Sends a fence. One that finds the ring full is dropped, because
/// check_fences() sends it again.
void send_fence(outgoing_fence&& fence_to_send, wiring const& rings)
{
    if (fence_to_send.request.home == rings.own_daemon)
        rings.admission->try_push(std::move(fence_to_send.request));
    else
        rings.peer->try_push(
            gooseberrycove::peer::outgoing{std::move(fence_to_send.address),
                                           std::move(fence_to_send.request)});
}

/// Pushes the calls to the store duty. Returns a refusal for each call that
/// found the ring full.
std::vector<store::reply> call_store(std::vector<store::request>& calls,
                                     inbox& own_inbox, wiring const& rings)
{
    std::vector<store::reply> refused;
    for (store::request& call : calls)
    {
        std::uint64_t const number = call.number;
        // A reply that finds the ring full is dropped; the call's outcome is
        // then unknown after parameters::call_timeout.
        call.deliver = [&own_inbox](store::reply&& reply)
        { own_inbox.try_push(std::move(reply)); };
        if (rings.store->try_push(std::move(call)))
            continue;
        store::reply reply;
        reply.number = number;
        reply.result = store::status::refused;
        refused.push_back(std::move(reply));
    }
    calls.clear();
    return refused;
}

void perform(claims_state& state, actions& out, pending_results& unsent,
             inbox& own_inbox, wiring const& rings, time_point now)
{
    // Terminates, because a refused call makes no further call at once: it
    // schedules a retry or ends the claim.
    while (!out.store.empty())
    {
        for (store::reply const& reply :
             call_store(out.store, own_inbox, rings))
            on_store_reply(state, reply, now, out);
    }
    for (event_line const& line : out.log)
        log_info(line);
    for (std::function<void()> const& callback : out.callbacks)
        callback();
    for (outgoing_fence& fence_to_send : out.fences)
        send_fence(std::move(fence_to_send), rings);
    for (claim_result& result : out.results)
        unsent.messages.emplace_back(std::move(result));
    for (claim_released const& released : out.released)
        unsent.messages.emplace_back(released);
    push_pending(unsent.messages, *rings.routing);
}

} // namespace

void run(inbox& requests, wiring const& rings)
{
    claims_state state =
        make_state(rings.own_daemon, rings.address, rings.mint_key);
    state.started = clock_now();
    state.unix_time_at_start = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    actions out;
    pending_results unsent;
    run_duty(
        requests,
        [&](message const& received, time_point now) {
            std::visit(handler{state, now, out}, received);
        },
        [&](time_point now)
        {
            time_point const next = on_tick(state, now, out);
            perform(state, out, unsent, requests, rings, now);
            out = actions{};
            return unsent.messages.empty()
                       ? next
                       : std::min(next, now + duration(10'000));
        });
}

} // namespace gooseberrycove::claims
