#include "decisions.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::routing;
using namespace std::chrono_literals;

namespace
{

time_point const start{1000s};

struct fixture
{
    routing_state state;
    lookup_result lookup;
    actions out;

    explicit fixture(float rate = 5)
    {
        state.own_daemon = {1, 1};
        state.has_fleet_limits = true;
        members::candidate candidate;
        candidate.server = "s1";
        candidate.slots = 4;
        candidate.home = {1, 1};
        on_service_view(state, {"orders", {candidate}});
        lookup.account = config::account_view{
            "shop", config::hash_secret("secret"), rate, 5};
        lookup.route = config::route_view{"r", "orders", 0, true, 1s};
    }

    void send(bool repeatable = true)
    {
        lookup.route->repeatable = repeatable;
        caller_request request;
        request.id = {0, 7};
        request.credentials = "shop:secret";
        request.idempotency_key = "k";
        request.received = start;
        on_caller_request(state, std::move(request), lookup, start, out);
    }

    void decide(bool granted, duration retry_after = duration(0))
    {
        on_token_decision(state, {{0, 7}, "shop", granted, retry_after}, start,
                          out);
    }

    std::size_t returned() const
    {
        std::size_t count = 0;
        for (account_limit::message const& item : out.limit_messages)
            count += std::holds_alternative<account_limit::token_return>(item);
        return count;
    }
};

} // namespace

// Guards against work that is sent before its token is granted.
TEST_CASE("a request of an account with a rate waits for its token")
{
    fixture test;
    test.send();
    REQUIRE(test.out.limit_messages.size() == 1);
    CHECK(test.out.home_messages.empty());
    test.decide(true);
    CHECK(test.out.home_messages.size() == 1);
    CHECK(test.out.responses.empty());
}

// Guards against a round trip for accounts that have no limit.
TEST_CASE("a request of an account without a rate asks for no token")
{
    fixture test(0);
    test.send();
    CHECK(test.out.limit_messages.empty());
    CHECK(test.out.home_messages.size() == 1);
}

// Guards against a refusal that does not tell when a token is available.
TEST_CASE("a request over the limit is refused with the time of the next token")
{
    fixture test;
    test.send();
    test.decide(false, 300ms);
    REQUIRE(test.out.responses.size() == 1);
    CHECK(test.out.responses[0].kind == error_kind::rate_limited);
    CHECK(test.out.responses[0].result.retry_after == duration(300ms));
    CHECK(test.out.home_messages.empty());
    CHECK(test.state.requests.empty());
}

// Guards against a request that hangs when no decision arrives, and a token
// that is lost when it arrives late.
TEST_CASE("a late decision finds the request refused and returns the token")
{
    fixture test;
    test.send();
    on_tick(test.state, start + max_token_wait, test.out);
    REQUIRE(test.out.responses.size() == 1);
    CHECK(test.out.responses[0].kind == error_kind::overloaded);
    test.decide(true);
    CHECK(test.returned() == 1);
    CHECK(test.out.home_messages.empty());
}

// Guards against tokens lost with requests that never reached a server, and
// against tokens given back for those that did.
TEST_CASE("the token returns when the request has not reached a server")
{
    bool const reached = GENERATE(false, true);
    fixture test;
    test.send();
    test.decide(true);
    work_result result;
    result.id = {0, 7};
    result.attempt =
        std::get<work_request>(test.out.home_messages.back().content).attempt;
    result.home = {1, 1};
    result.kind = error_kind::overloaded;
    result.run_outcome = outcome::not_run;
    result.service_time = reached ? duration(5ms) : duration(0);
    on_result(test.state, std::move(result), start, test.out);
    REQUIRE(test.out.responses.size() == 1);
    CHECK(test.returned() == (reached ? 0 : 1));
}

// Guards against a token that a request keeps although its claim was not
// granted or its caller has gone.
TEST_CASE("the token returns when the claim is refused or the caller has gone")
{
    bool const is_gone = GENERATE(false, true);
    fixture test;
    test.send(false);
    if (is_gone)
        on_caller_disconnected(test.state, {{0, 7}}, start, test.out);
    test.decide(true);
    if (!is_gone)
    {
        claims::claim_result refused;
        refused.id = {0, 7};
        refused.kind = error_kind::store_unavailable;
        on_claim_result(test.state, std::move(refused), start, test.out);
    }
    CHECK(test.returned() == 1);
    CHECK(test.state.requests.empty());
}
