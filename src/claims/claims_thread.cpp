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
    state& s;
    time_point now;
    actions& out;

    void operator()(std::monostate const&) const {}
    void operator()(claim_request const& what) const
    {
        on_claim_request(s, what, now, out);
    }
    void operator()(claim_end const& what) const
    {
        on_claim_end(s, what, now, out);
    }
    void operator()(fence_response const& what) const
    {
        on_fence_answer(s, what, now, out);
    }
    void operator()(members::live_daemons const& what) const
    {
        on_live_daemons(s, what, now, out);
    }
    void operator()(mint_request const& what) const
    {
        on_mint_request(s, what, now, out);
    }
    void operator()(state_request const& what) const
    {
        on_state_request(s, what, now, out);
    }
    void operator()(store::reply const& what) const
    {
        on_store_reply(s, what, now, out);
    }
};

/// Answers that routing's ring had no room for. They are never dropped: their
/// number is bounded by the requests that routing waits for.
struct backlog
{
    std::deque<routing::message> answers;
};

/// A fence that finds no room is repeated by the protocol.
void send_fence(outgoing_fence&& sent, wiring const& to)
{
    if (sent.what.home == to.self)
        to.admission->try_push(std::move(sent.what));
    else
        to.peer->try_push(gooseberrycove::peer::outgoing{
            std::move(sent.address), std::move(sent.what)});
}

/// Makes the calls. Returns refusals for those that found no room.
std::vector<store::reply> call_store(std::vector<store::request>& calls,
                                     inbox& own, wiring const& to)
{
    std::vector<store::reply> refused;
    for (store::request& call : calls)
    {
        std::uint64_t const number = call.number;
        // A reply without room counts as unknown after the call's time limit.
        call.deliver = [&own](store::reply&& reply)
        { own.try_push(std::move(reply)); };
        if (to.store->try_push(std::move(call)))
            continue;
        store::reply reply;
        reply.number = number;
        reply.result = store::status::refused;
        refused.push_back(std::move(reply));
    }
    calls.clear();
    return refused;
}

void perform(state& s, actions& out, backlog& kept, inbox& own,
             wiring const& to, time_point now)
{
    // A refusal schedules a retry or ends a claim, so this ends.
    while (!out.store.empty())
    {
        for (store::reply const& reply : call_store(out.store, own, to))
            on_store_reply(s, reply, now, out);
    }
    for (event_line const& line : out.log)
        log_info(line);
    for (std::function<void()> const& reply : out.replies)
        reply();
    for (outgoing_fence& sent : out.fences)
        send_fence(std::move(sent), to);
    for (claim_result& result : out.results)
        kept.answers.emplace_back(std::move(result));
    for (claim_released const& released : out.released)
        kept.answers.emplace_back(released);
    push_pending(kept.answers, *to.routing);
}

} // namespace

void run(inbox& requests, wiring const& to)
{
    state s = make_state(to.self, to.address, to.mint_key);
    s.started = clock_now();
    s.unix_start = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    actions out;
    backlog kept;
    run_duty(
        requests,
        [&](message const& what, time_point now) {
            std::visit(handler{s, now, out}, what);
        },
        [&](time_point now)
        {
            time_point const next = on_tick(s, now, out);
            perform(s, out, kept, requests, to, now);
            out = actions{};
            return kept.answers.empty()
                       ? next
                       : std::min(next, now + duration(10'000));
        });
}

} // namespace gooseberrycove::claims
