#include "decisions.hpp"
#include "loads.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::routing;
using namespace std::chrono_literals;

namespace
{

time_point const start{1000s};

/// A service with eight homes whose servers refuse or fail each attempt, and
/// whose homes refuse each retry while \p m_is_limit_used_up.
class refusing_service
{
public:
    refusing_service()
    {
        m_state.own_daemon = {99, 1};
        members::service_view view{"orders", {}};
        for (std::uint64_t i = 1; i <= 8; ++i)
        {
            members::candidate candidate;
            candidate.server = "s" + std::to_string(i);
            candidate.slots = 5;
            candidate.home = {i, 1};
            view.candidates.push_back(candidate);
        }
        on_service_view(m_state, view);
    }

    /// Sends a request and returns the number of its attempts.
    std::size_t send(time_point now)
    {
        caller_request original;
        original.id = {0, ++m_last_id};
        original.received = now;
        lookup_result lookup;
        lookup.route = config::route_view{"r", "orders", 0, true, 4s};
        lookup.route->is_open = true;
        lookup.route->attempts = 10;
        lookup.homes_limit_retries = true;
        m_out = {};
        on_caller_request(m_state, std::move(original), lookup, now, m_out);
        std::size_t attempts = 0;
        while (m_out.responses.empty())
        {
            ++attempts;
            auto const sent =
                std::get<work_request>(m_out.home_messages.back().content);
            on_result(m_state, reply_to(sent), now, m_out);
        }
        return attempts;
    }

    work_result reply_to(work_request const& sent) const
    {
        work_result result;
        result.id = sent.id;
        result.attempt = sent.attempt;
        result.home = sent.home;
        if (sent.is_retry && m_is_limit_used_up)
        {
            result.kind = error_kind::overloaded;
            result.run_outcome = outcome::not_run;
            result.detail = admission::retry_limit_reason;
            result.retry_after = 1300ms;
            return result;
        }
        result.run_outcome = m_first_outcome;
        result.kind = m_first_outcome == outcome::ran ? error_kind::none
                                                      : error_kind::no_server;
        result.status = m_first_outcome == outcome::ran ? 500 : 503;
        result.service_time = 2ms;
        return result;
    }

    routing_state m_state;
    actions m_out;
    std::uint64_t m_last_id = 0;
    bool m_is_limit_used_up = true;
    outcome m_first_outcome = outcome::not_run;
};

} // namespace

TEST_CASE("a used up retry limit ends a request without asking every home")
{
    // Guards against the costliest fault measured: while all servers refuse a
    // part of their requests, each request was passed on to up to ten homes
    // that refused its retry (11,361 refusals), while slots were free.
    refusing_service service;
    // The first request finds it out: its first attempt and three refusals.
    CHECK(service.send(start) == 4);
    CHECK(service.send(start + 500ms) == 1);
    final_response const& refused = service.m_out.responses.at(0);
    CHECK(refused.kind == error_kind::overloaded);
    CHECK(refused.result.retry_after == 800ms);
    // What has run keeps the server's own answer.
    service.m_first_outcome = outcome::ran;
    CHECK(service.send(start + 600ms) == 1);
    CHECK(service.m_out.responses.at(0).kind == error_kind::none);
    CHECK(service.m_out.responses.at(0).result.status == 500);
    // Replies count for 1 s, so that room is found again.
    service.m_is_limit_used_up = false;
    CHECK(service.send(start + 1100ms) > 1);
}

TEST_CASE("the limit counts as used up when half of the asked homes say so")
{
    // Guards against one home with a busy server that ends the retries of all.
    retry_replies replies;
    for (std::uint64_t home = 1; home <= 7; ++home)
    {
        record_retry_reply(replies, home, home <= 3, 2s, start);
        CHECK(retry_room(replies, start).has_value() ==
              (home >= 3 && home <= 6));
    }
    record_retry_reply(replies, 1, true, 200ms, start + 900ms);
    record_retry_reply(replies, 8, true, 2s, start + 900ms);
    CHECK(retry_room(replies, start + 900ms) == start + 1100ms);
    CHECK_FALSE(retry_room(replies, start + 1100ms));
}

TEST_CASE("a refusal's loads of siblings replace older ones only")
{
    // Guards against requests sent to servers that were free seconds ago, and
    // against a directory whose older loads replace what a refusal told.
    std::vector<members::candidate> candidates(3);
    for (std::size_t i = 0; i < 3; ++i)
    {
        candidates[i].server = "s" + std::to_string(i);
        candidates[i].home = {i + 1, 1};
        candidates[i].in_flight = 5;
        candidates[i].load_at = start - 1s;
    }
    std::vector<members::candidate> const directory = candidates;
    std::vector<sibling_load> const siblings{{"s0", {1, 1}, 1, 0, 200ms},
                                             {"s1", {2, 1}, 1, 0, 1500ms},
                                             {"s2", {3, 2}, 1, 0, 200ms}};
    apply_siblings(candidates, siblings, start);
    CHECK(candidates[0].in_flight == 1);
    CHECK(candidates[1].in_flight == 5);
    CHECK(candidates[2].in_flight == 5);
    std::vector<members::candidate> next = directory;
    keep_newer_loads(next, candidates);
    CHECK(next[0].in_flight == 1);
    next[0].load_at = start;
    next[0].in_flight = 4;
    keep_newer_loads(next, candidates);
    CHECK(next[0].in_flight == 4);
}
