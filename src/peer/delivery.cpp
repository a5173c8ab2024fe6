#include "delivery.hpp"

#include <gooseberrycove/event.hpp>

namespace gooseberrycove::peer
{

namespace
{

/// Pushes what may be dropped: it is repeated by its sender or timed out.
template <class Inbox, class Value>
void offer(Inbox& inbox, Value&& value, wiring const& to, char const* duty)
{
    typename std::remove_reference_t<Inbox>::message_type message(
        std::forward<Value>(value));
    if (inbox.try_push(std::move(message)))
        return;
    to.counts->count_ring_drop(duty);
    log_warning(event_line(event::ring_full).field("duty", duty));
}

struct deliverer
{
    wiring const& to;
    std::optional<outgoing> refusal;

    void operator()(std::monostate) {}

    void operator()(work_request&& value)
    {
        admission::message message(std::move(value));
        if (to.admission->try_push(std::move(message), response_reserve))
            return;
        work_request const& refused = std::get<work_request>(message);
        work_result result;
        result.id = refused.id;
        result.attempt = refused.attempt;
        result.kind = error_kind::overloaded;
        result.run_outcome = outcome::not_run;
        result.detail = "the home's ring is full";
        result.home = to.self;
        refusal = outgoing{refused.origin_address, std::move(result)};
        to.counts->count_ring_drop("admission");
    }

    void operator()(work_result&& value)
    {
        offer(*to.routing, std::move(value), to, "routing");
    }
    void operator()(admission::cancel const& value)
    {
        offer(*to.admission, value, to, "admission");
    }
    void operator()(claims::fence&& value)
    {
        offer(*to.admission, std::move(value), to, "admission");
    }
    void operator()(claims::fence_response&& value)
    {
        offer(*to.claims, std::move(value), to, "claims");
    }
    void operator()(config::pull&& value)
    {
        offer(*to.config, std::move(value), to, "config");
    }
    void operator()(config::deltas&& value)
    {
        offer(*to.config, std::move(value), to, "config");
    }
    void operator()(config::peer_version&& value)
    {
        offer(*to.config, std::move(value), to, "config");
    }
    void operator()(members::sync&& value)
    {
        offer(*to.members, std::move(value), to, "members");
    }
    /// The peer thread answers checks itself.
    void operator()(path_check const&) {}
    void operator()(members::packet&& value)
    {
        offer(*to.members, std::move(value), to, "members");
    }
};

} // namespace

std::optional<outgoing> deliver(payload&& what, wiring const& to)
{
    deliverer pushes{to, std::nullopt};
    std::visit(pushes, std::move(what));
    return std::move(pushes.refusal);
}

work_result lost_work(request_id id, std::uint32_t attempt, bool sent,
                      std::string_view address)
{
    work_result result;
    result.id = id;
    result.attempt = attempt;
    result.kind = sent ? error_kind::outcome_unknown : error_kind::no_server;
    result.run_outcome = sent ? outcome::unknown : outcome::not_run;
    result.detail =
        sent ? "connection to the home was lost: " : "home cannot be reached: ";
    result.detail += address;
    return result;
}

bool carries_work(payload const& what)
{
    return std::holds_alternative<work_request>(what) ||
           std::holds_alternative<work_result>(what) ||
           std::holds_alternative<admission::cancel>(what) ||
           std::holds_alternative<path_check>(what);
}

std::string_view reply_address(payload const& what)
{
    if (auto const* value = std::get_if<work_request>(&what))
        return value->origin_address;
    if (auto const* value = std::get_if<claims::fence>(&what))
        return value->sender_address;
    if (auto const* value = std::get_if<config::pull>(&what))
        return value->sender_address;
    if (auto const* value = std::get_if<config::deltas>(&what))
        return value->sender_address;
    if (auto const* value = std::get_if<members::sync>(&what))
        return value->sender_address;
    return {};
}

} // namespace gooseberrycove::peer
