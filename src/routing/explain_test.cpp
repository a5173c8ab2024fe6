#include "attempts.hpp"
#include "decisions.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::routing;
using namespace std::chrono_literals;

namespace
{

time_point const start{1000s};

routing_state make_state()
{
    members::service_view view{"orders", {}};
    for (std::string const name : {"a", "b", "c"})
    {
        members::candidate server;
        server.server = name;
        server.slots = 4;
        server.home = {view.candidates.size() + 1, 1};
        server.home_address = "127.0.0.1:" + name;
        server.home_data_centre = name == "c" ? "dc2" : "dc1";
        view.candidates.push_back(server);
    }
    view.candidates[1].in_flight = 4;
    routing_state state;
    state.own_daemon = {1, 1};
    state.data_centre = "dc1";
    on_service_view(state, view);
    return state;
}

lookup_result make_lookup()
{
    lookup_result lookup;
    lookup.account = config::account_view{"shop", {}, 5, 2};
    lookup.route = config::route_view{"r", "orders", 0, true, 1s};
    return lookup;
}

explain_request make_request(std::size_t body_bytes = 0)
{
    return {"GET", "", "/orders", "shop", body_bytes, nullptr};
}

} // namespace

TEST_CASE("explaining a request changes no state and takes no token")
{
    // Guards against an operator's question that changes the next choices.
    routing_state state = make_state();
    lookup_result const lookup = make_lookup();
    REQUIRE(take_token(state.account_limiter, *lookup.account, start));
    service_state& service = service_of(state, "orders");
    service.probability_reports["a"] = {0.4, start - 2s};
    std::mt19937_64 const random = state.random;
    explanation const first =
        explain(state, lookup, make_request(), 100, start);
    explanation const second =
        explain(state, lookup, make_request(), 100, start);
    CHECK(state.random == random);
    CHECK(state.requests.empty());
    CHECK(state.timers.empty());
    CHECK(state.services.size() == 1);
    CHECK(service.outstanding.empty());
    CHECK(first.account_tokens == 1);
    CHECK(second.account_tokens == 1);
    CHECK(first.chosen_server == second.chosen_server);
    CHECK_FALSE(first.chosen_server.empty());
    CHECK(first.candidates.at(0).news_age == 2s);
    CHECK_FALSE(first.candidates.at(1).news_age);
    CHECK(first.candidates.at(1).load == 1);
    for (explanation::entry const& entry : first.candidates)
        CHECK(entry.cost_outside > entry.cost_inside);
}

TEST_CASE("explain weighs the bytes that would leave the data centre")
{
    // Guards against an explanation of another choice than that for a request.
    routing_state state = make_state();
    state.cross_data_centre_cost = 10;
    record_answer(state.route_answers, "r", 90'000, 500ms);
    auto const cost = [&](std::size_t body_bytes)
    {
        explanation const explained = explain(
            state, make_lookup(), make_request(body_bytes), 1'000'000, start);
        explanation::entry const& entry = explained.candidates.at(0);
        return entry.cost_outside - entry.cost_inside;
    };
    // At most a quarter of the route's timeout of 1 s, in service times.
    CHECK(cost(0) == Approx(0.5));
    state.route_answers.clear();
    record_answer(state.route_answers, "r", 500, 500ms);
    CHECK(cost(0) == Approx(0.25));
    CHECK(cost(20'000) > 0.3);
}

TEST_CASE("explain names the rule that refuses at entry, or what is unknown")
{
    routing_state state = make_state();
    lookup_result lookup = make_lookup();
    auto const explained = [&](std::size_t body_bytes)
    { return explain(state, lookup, make_request(body_bytes), 100, start); };
    CHECK(explained(100).entry_refusal == error_kind::none);
    CHECK(explained(101).entry_refusal == error_kind::too_large);
    take_token(state.account_limiter, *lookup.account, start);
    take_token(state.account_limiter, *lookup.account, start);
    CHECK(explained(0).entry_refusal == error_kind::rate_limited);
    CHECK(explained(0).kind == error_kind::none);
    lookup.route->service = "stock";
    CHECK(explained(0).kind == error_kind::no_server);
    lookup.account.reset();
    CHECK(explained(0).kind == error_kind::unauthenticated);
    lookup = make_lookup();
    lookup.route.reset();
    CHECK(explained(0).kind == error_kind::no_route);
}
