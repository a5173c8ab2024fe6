#include "delivery.hpp"

#include <gooseberrycove/event.hpp>

namespace gooseberrycove::peer
{

namespace
{

/// Pushes a message that may be dropped when the ring is full: its sender
/// repeats it or its receiver times out.
template <class Inbox, class Content>
void push_or_drop(Inbox& inbox, Content&& content, wiring const& to,
                  char const* duty)
{
    typename std::remove_reference_t<Inbox>::message_type queued(
        std::forward<Content>(content));
    if (inbox.try_push(std::move(queued)))
        return;
    to.counts->count_ring_drop(duty);
    log_warning(event_line(event::ring_full).field("duty", duty));
}

struct payload_visitor
{
    wiring const& to;
    std::optional<outgoing> refusal;

    void operator()(std::monostate) {}

    void operator()(work_request&& content)
    {
        admission::message queued(std::move(content));
        if (to.admission->try_push(std::move(queued), response_reserve))
            return;
        work_request const& refused = std::get<work_request>(queued);
        refusal = outgoing{
            refused.origin_address,
            make_refused_result(refused, to.self, "the home's ring is full")};
        to.counts->count_ring_drop("admission");
    }

    void operator()(work_result&& content)
    {
        push_or_drop(*to.routing, std::move(content), to, "routing");
    }
    void operator()(admission::cancel const& content)
    {
        push_or_drop(*to.admission, content, to, "admission");
    }
    void operator()(claims::fence&& content)
    {
        push_or_drop(*to.admission, std::move(content), to, "admission");
    }
    void operator()(claims::fence_response&& content)
    {
        push_or_drop(*to.claims, std::move(content), to, "claims");
    }
    void operator()(config::pull&& content)
    {
        push_or_drop(*to.config, std::move(content), to, "config");
    }
    void operator()(config::deltas&& content)
    {
        push_or_drop(*to.config, std::move(content), to, "config");
    }
    void operator()(config::peer_version&& content)
    {
        push_or_drop(*to.config, std::move(content), to, "config");
    }
    void operator()(members::sync&& content)
    {
        push_or_drop(*to.members, std::move(content), to, "members");
    }
    void operator()(account_limit::report&& content)
    {
        push_limit_message(std::move(content));
    }
    void operator()(account_limit::grant&& content)
    {
        push_limit_message(std::move(content));
    }
    void push_limit_message(account_limit::message&& content)
    {
        if (to.account_limit != nullptr)
            push_or_drop(*to.account_limit, std::move(content), to,
                         "account_limit");
    }
    /// Handled by the peer thread itself.
    void operator()(path_check const&) {}
    void operator()(members::packet&& content)
    {
        push_or_drop(*to.members, std::move(content), to, "members");
    }
};

} // namespace

std::optional<outgoing> deliver(payload&& content, wiring const& to)
{
    payload_visitor visitor{to, std::nullopt};
    std::visit(visitor, std::move(content));
    return std::move(visitor.refusal);
}

work_result make_refused_result(work_request const& refused, daemon_ref home,
                                std::string_view detail)
{
    work_result result;
    result.id = refused.id;
    result.attempt = refused.attempt;
    result.kind = error_kind::overloaded;
    result.run_outcome = outcome::not_run;
    result.detail = detail;
    result.home = home;
    return result;
}

work_result make_lost_work_result(request_id id, std::uint32_t attempt,
                                  bool was_sent, std::string_view address)
{
    work_result result;
    result.id = id;
    result.attempt = attempt;
    result.kind =
        was_sent ? error_kind::outcome_unknown : error_kind::no_server;
    result.run_outcome = was_sent ? outcome::unknown : outcome::not_run;
    result.detail = was_sent ? "connection to the home was lost: "
                             : "home cannot be reached: ";
    result.detail += address;
    return result;
}

bool carries_work(payload const& content)
{
    return std::holds_alternative<work_request>(content) ||
           std::holds_alternative<work_result>(content) ||
           std::holds_alternative<admission::cancel>(content) ||
           std::holds_alternative<path_check>(content);
}

void count_bytes(metrics& counts, direction flow, bool is_work, scope other_end,
                 std::size_t bytes)
{
    std::string_view label;
    if (other_end != scope::unknown)
        label = other_end == scope::same_data_centre ? "same" : "other";
    counts.count_peer_bytes(flow, is_work ? "work" : "control", label, bytes);
}

std::string_view reply_address(payload const& content)
{
    if (auto const* request = std::get_if<work_request>(&content))
        return request->origin_address;
    if (auto const* fence = std::get_if<claims::fence>(&content))
        return fence->sender_address;
    if (auto const* pull = std::get_if<config::pull>(&content))
        return pull->sender_address;
    if (auto const* deltas = std::get_if<config::deltas>(&content))
        return deltas->sender_address;
    if (auto const* sync = std::get_if<members::sync>(&content))
        return sync->sender_address;
    if (auto const* report = std::get_if<account_limit::report>(&content))
        return report->sender_address;
    if (auto const* grant = std::get_if<account_limit::grant>(&content))
        return grant->owner_address;
    return {};
}

} // namespace gooseberrycove::peer
