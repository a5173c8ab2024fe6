#include "authenticate.hpp"
#include "claim_queries.hpp"
#include "decisions.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace gooseberrycove;
using namespace gooseberrycove::routing;
using namespace std::chrono_literals;

namespace
{

time_point const start{1000s};

members::service_view four_servers()
{
    members::service_view view{"orders", {}};
    for (std::uint64_t i = 1; i <= 4; ++i)
    {
        members::candidate candidate;
        candidate.server = "s" + std::to_string(i);
        candidate.slots = 4;
        candidate.home = {i, 1};
        candidate.home_address = "10.0.0." + std::to_string(i) + ":7000";
        candidate.home_data_centre = i <= 2 ? "dc1" : "dc2";
        view.candidates.push_back(candidate);
    }
    return view;
}

routing_state make_state()
{
    routing_state state;
    state.own_daemon = {1, 1};
    state.data_centre = "dc1";
    on_service_view(state, four_servers());
    return state;
}

lookup_result lookup_for(bool repeatable)
{
    lookup_result lookup;
    lookup.account = config::account_view{"shop", hash_secret("secret"), 0, 0};
    lookup.route = config::route_view{"r", "orders", 0, repeatable, 1s};
    lookup.priority_name = "normal";
    return lookup;
}

caller_request request_number(std::uint64_t number)
{
    caller_request request;
    request.id = {0, number};
    request.credentials = "shop:secret";
    request.method = "POST";
    request.target = "/orders?x=1";
    request.idempotency_key = "k";
    request.received = start;
    return request;
}

work_result result_of(work_request const& sent, daemon_ref home,
                      error_kind kind, outcome run_outcome, int status = 200)
{
    work_result result;
    result.id = sent.id;
    result.attempt = sent.attempt;
    result.kind = kind;
    result.run_outcome = run_outcome;
    result.status = status;
    result.home = home;
    return result;
}

work_request const& last_work_request(actions const& out)
{
    return std::get<work_request>(out.home_messages.back().content);
}

/// Starts a request and grants its claim when it needs one.
void begin_request(routing_state& state, bool repeatable, actions& out)
{
    on_caller_request(state, request_number(7), lookup_for(repeatable), start,
                      out);
    if (repeatable)
        return;
    auto const& request =
        std::get<claims::claim_request>(out.claim_messages[0]);
    claims::claim_result granted;
    granted.id = request.id;
    granted.claim = {"c1", 1};
    granted.homes = request.homes;
    on_claim_result(state, std::move(granted), start, out);
}

struct attempt_outcome
{
    error_kind kind;
    outcome run_outcome;
    int status = 200;
};

struct failure_sequence
{
    std::string description;
    bool repeatable;
    std::vector<attempt_outcome> steps;
    std::size_t attempts;
    error_kind kind;
};

} // namespace

TEST_CASE("each sequence of results gives one response, of the right kind")
{
    using enum error_kind;
    using enum outcome;
    attempt_outcome const refused{overloaded, not_run};
    attempt_outcome const truncated{answer_cut, unknown};
    attempt_outcome const good{none, ran, 200};
    attempt_outcome const broken{none, ran, 500};
    auto const row = GENERATE_COPY(values<failure_sequence>({
        {"success", true, {good}, 1, none},
        {"not run: another home is tried", true, {refused, good}, 2, none},
        {"not run three times",
         true,
         {refused, refused, refused},
         3,
         overloaded},
        {"a truncated response is retried when repeatable",
         true,
         {truncated, good},
         2,
         none},
        {"truncated, then not run: not reported as not run",
         true,
         {truncated, refused, refused},
         3,
         answer_cut},
        {"500 is retried, then passed on",
         true,
         {broken, refused, refused},
         3,
         none},
        {"a refusal kind with an unknown outcome",
         false,
         {{overloaded, unknown}},
         1,
         outcome_unknown},
        {"timeout before dispatch",
         true,
         {{timed_out, not_run}, {timed_out, not_run}, {timed_out, not_run}},
         3,
         deadline_unmet},
        {"claimed work is never retried after a truncated response",
         false,
         {truncated},
         1,
         answer_cut},
        {"claimed work passes a 500 on", false, {broken}, 1, none},
        {"claimed work tries another home when not run",
         false,
         {refused, good},
         2,
         none},
    }));
    INFO(row.description);
    routing_state state = make_state();
    actions out;
    begin_request(state, row.repeatable, out);
    for (attempt_outcome const& one : row.steps)
    {
        CHECK(out.responses.empty());
        home_message const outgoing = out.home_messages.back();
        on_result(state,
                  result_of(std::get<work_request>(outgoing.content), {9, 9},
                            one.kind, one.run_outcome, one.status),
                  start + 1ms, out);
    }
    REQUIRE(out.responses.size() == 1);
    CHECK(out.responses[0].kind == row.kind);
    CHECK(out.home_messages.size() == row.attempts);
    CHECK(state.requests.empty());
    CHECK(state.timers.empty());
    CHECK(state.services["orders"].outstanding.empty());
}

TEST_CASE("claimed work that did not run is answered after the claim ends")
{
    bool const is_confirmed = GENERATE(true, false);
    routing_state state = make_state();
    actions out;
    begin_request(state, false, out);
    for (int i = 0; i < 3; ++i)
        on_result(state,
                  result_of(last_work_request(out), {9, 9},
                            error_kind::overloaded, outcome::not_run),
                  start + 1ms, out);
    CHECK(out.responses.empty());
    CHECK(std::get<claims::claim_end>(out.claim_messages.back()).is_not_run);
    on_claim_released(state, {{0, 7}, is_confirmed}, start + 2ms, out);
    REQUIRE(out.responses.size() == 1);
    CHECK(
        out.responses[0].kind ==
        (is_confirmed ? error_kind::overloaded : error_kind::outcome_unknown));
}

TEST_CASE("claimed work is sent only to the homes that its claim names")
{
    routing_state state = make_state();
    actions out;
    on_caller_request(state, request_number(7), lookup_for(false), start, out);
    claims::claim_result granted;
    granted.id = {0, 7};
    granted.claim = {"c1", 1};
    // Daemon 3 has restarted since the claim was written.
    granted.homes = {{{3, 0}, "10.0.0.3:7000"}, {{4, 1}, "10.0.0.4:7000"}};
    on_claim_result(state, std::move(granted), start, out);
    REQUIRE(out.home_messages.size() == 1);
    CHECK(out.home_messages[0].address == "10.0.0.4:7000");
    CHECK(last_work_request(out).claim.id == "c1");
    on_result(state,
              result_of(last_work_request(out), {4, 1}, error_kind::overloaded,
                        outcome::not_run),
              start, out);
    CHECK(out.home_messages.size() == 1);
}

TEST_CASE("an unresponsive home of claimed work gives unknown, never not run")
{
    routing_state state = make_state();
    actions out;
    begin_request(state, false, out);
    on_tick(state, start + 2s, out);
    REQUIRE(out.responses.size() == 1);
    CHECK(out.responses[0].kind == error_kind::timed_out);
    CHECK(out.claim_messages.size() == 1);
    SECTION("the late result is recorded without a second response")
    {
        on_result(state,
                  result_of(last_work_request(out), {9, 9}, error_kind::none,
                            outcome::ran),
                  start + 3s, out);
        auto const& end = std::get<claims::claim_end>(out.claim_messages[1]);
        CHECK(end.result.run_outcome == outcome::ran);
    }
    SECTION("without a late result the claim ends as unknown")
    {
        on_tick(state, start + 8s, out);
        auto const& end = std::get<claims::claim_end>(out.claim_messages[1]);
        CHECK(end.result.run_outcome == outcome::unknown);
        CHECK_FALSE(end.is_not_run);
    }
    CHECK(out.responses.size() == 1);
    CHECK(state.requests.empty());
}

TEST_CASE("a claim granted after the response is returned unused")
{
    bool const is_disconnected = GENERATE(true, false);
    routing_state state = make_state();
    actions out;
    on_caller_request(state, request_number(7), lookup_for(false), start, out);
    if (is_disconnected)
        on_caller_disconnected(state, {{0, 7}}, start, out);
    else
        on_tick(state, start + 2s, out);
    claims::claim_result granted;
    granted.id = {0, 7};
    granted.claim = {"c1", 1};
    on_claim_result(state, std::move(granted), start + 3s, out);
    CHECK(out.home_messages.empty());
    auto const& end = std::get<claims::claim_end>(out.claim_messages.back());
    CHECK((end.is_not_run && end.account == "shop" && end.key == "k"));
    CHECK(out.responses.size() == (is_disconnected ? 0 : 1));
    CHECK(state.requests.empty());
}

TEST_CASE("each reason for a refusal has its own kind, and no work is sent")
{
    using enum error_kind;
    struct refused_request
    {
        error_kind kind;
        std::function<void(routing_state&, caller_request&, lookup_result&)>
            modify;
    };
    auto const row = GENERATE(values<refused_request>({
        {unauthenticated, [](auto&, auto& request, auto&)
         { request.credentials = "shop:other"; }},
        {unauthenticated,
         [](auto&, auto& request, auto&) { request.credentials = "shop"; }},
        {unauthenticated,
         [](auto&, auto&, auto& lookup) { lookup.account.reset(); }},
        {no_route, [](auto&, auto&, auto& lookup) { lookup.route.reset(); }},
        {bad_request,
         [](auto&, auto& request, auto&) { request.idempotency_key.clear(); }},
        {deadline_unmet,
         [](auto&, auto& request, auto&) { request.received = start - 10s; }},
        {overloaded,
         [](auto& state, auto&, auto&) { state.in_flight_limit = 0; }},
        {no_server, [](auto& state, auto&, auto&) { state.services.clear(); }},
    }));
    routing_state state = make_state();
    caller_request request = request_number(7);
    lookup_result lookup = lookup_for(false);
    row.modify(state, request, lookup);
    actions out;
    on_caller_request(state, std::move(request), lookup, start, out);
    REQUIRE(out.responses.size() == 1);
    CHECK(out.responses[0].kind == row.kind);
    CHECK((out.home_messages.empty() && state.requests.empty()));
}

TEST_CASE("a second request with an id in flight gets no response")
{
    routing_state state = make_state();
    actions out;
    begin_request(state, true, out);
    on_caller_request(state, request_number(7), lookup_for(true), start, out);
    CHECK((out.responses.empty() && out.home_messages.size() == 1));
}

TEST_CASE("work for the last home to try is sent without has_other_homes")
{
    // Guards against refusing a request at the last home: a home refuses urgent
    // work that would wait there only when another home can be tried.
    bool const repeatable = GENERATE(true, false);
    routing_state state = make_state();
    actions out;
    begin_request(state, repeatable, out);
    for (std::size_t tried = 1; tried < max_homes; ++tried)
    {
        CHECK(last_work_request(out).has_other_homes);
        work_request const sent = last_work_request(out);
        on_result(state,
                  result_of(sent, {tried, 1}, error_kind::deadline_unmet,
                            outcome::not_run),
                  start, out);
    }
    CHECK_FALSE(last_work_request(out).has_other_homes);
}

TEST_CASE("a request with an id that is still settling gets in_progress")
{
    // Guards against a second caller that waits forever for a response.
    routing_state state = make_state();
    actions out;
    begin_request(state, false, out);
    on_caller_disconnected(state, {request_number(7).id}, start, out);
    out = {};
    on_caller_request(state, request_number(7), lookup_for(false), start, out);
    REQUIRE(out.responses.size() == 1);
    CHECK(out.responses.front().kind == error_kind::in_progress);
}

TEST_CASE("a home behind a one-way partition is skipped until it responds")
{
    routing_state state = make_state();
    actions out;
    begin_request(state, false, out);
    std::string const address = out.home_messages[0].address;
    std::uint64_t const home_id = address[7] - '0';
    on_tick(state, start + 2s, out);
    time_point const later = start + 2s;
    CHECK(is_skipped(state.evidence, home_id, later));
    CHECK_FALSE(is_skipped(state.evidence, home_id, later + 1001ms));
    on_result(state,
              result_of(last_work_request(out), {home_id, 1}, error_kind::none,
                        outcome::ran),
              later, out);
    CHECK_FALSE(is_skipped(state.evidence, home_id, later));
}

TEST_CASE("a slow attempt is hedged once and the slower one is cancelled")
{
    routing_state state = make_state();
    service_state& service = state.services["orders"];
    for (int i = 0; i < 100; ++i)
    {
        add_latency(service.latency, 10ms);
        count_request(service.budget, start);
    }
    actions out;
    begin_request(state, true, out);
    on_tick(state, start + 20ms, out);
    REQUIRE(out.home_messages.size() == 2);
    CHECK(out.home_messages[0].address != out.home_messages[1].address);
    on_result(state,
              result_of(last_work_request(out), {9, 9}, error_kind::none,
                        outcome::ran),
              start + 25ms, out);
    REQUIRE(out.home_messages.size() == 3);
    CHECK(std::get<admission::cancel>(out.home_messages[2].content).attempt ==
          1);
    CHECK(out.responses.size() == 1);
}

TEST_CASE(
    "late, duplicate and lost results give one response with a true outcome")
{
    for (unsigned seed = 1; seed <= 300; ++seed)
    {
        std::mt19937 random(seed);
        auto const draw = [&](int n) { return static_cast<int>(random() % n); };
        bool const repeatable = draw(2) == 0;
        routing_state state = make_state();
        state.random.seed(seed);
        actions out;
        begin_request(state, repeatable, out);
        bool may_have_run = false;
        time_point now = start;
        for (int i = 0; i < 40; ++i)
        {
            now += std::chrono::milliseconds(draw(60));
            home_message const& outgoing =
                out.home_messages[draw(int(out.home_messages.size()))];
            auto const* sent = std::get_if<work_request>(&outgoing.content);
            if (draw(3) == 0)
                on_tick(state, now, out);
            else if (sent)
            {
                auto const run_outcome = static_cast<outcome>(draw(3));
                std::size_t const dropped_before = state.dropped_results;
                work_result attempt_result = result_of(
                    *sent, {1, 1}, error_kind::server_failed, run_outcome);
                if (run_outcome == outcome::ran)
                    attempt_result.kind = error_kind::none;
                on_result(state, std::move(attempt_result), now, out);
                may_have_run |= dropped_before == state.dropped_results &&
                                run_outcome != outcome::not_run;
            }
        }
        on_tick(state, now + 20s, out);
        on_claim_released(state, {{0, 7}, true}, now, out);
        on_tick(state, now + 40s, out);
        INFO("seed " << seed);
        REQUIRE(out.responses.size() == 1);
        CHECK(state.requests.empty());
        final_response const& response = out.responses[0];
        outcome const reported =
            response.kind == error_kind::none
                ? response.result.run_outcome
                : error_response_for(response.kind).run_outcome;
        CHECK_FALSE((reported == outcome::not_run && may_have_run));
        CHECK((repeatable || out.claim_messages.size() == 2));
    }
}

namespace
{

lookup_result open_route_lookup(bool repeatable, std::uint32_t attempts = 3)
{
    lookup_result lookup = lookup_for(repeatable);
    lookup.account.reset();
    lookup.route->is_open = true;
    lookup.route->attempts = attempts;
    return lookup;
}

caller_request anonymous_request(std::uint64_t number)
{
    caller_request request = request_number(number);
    request.caller_id = "caller-" + std::to_string(number);
    request.credentials.clear();
    request.idempotency_key.clear();
    return request;
}

} // namespace

TEST_CASE("an open route needs no account and runs non-repeatable work once")
{
    routing_state state = make_state();
    actions out;
    on_caller_request(state, anonymous_request(1), open_route_lookup(false),
                      start, out);
    REQUIRE(out.home_messages.size() == 1);
    CHECK(out.claim_messages.empty());
    CHECK(last_work_request(out).caller_id == "caller-1");
    work_request const sent = last_work_request(out);
    SECTION("not run at the home: another home is tried")
    {
        on_result(state,
                  result_of(sent, sent.home, error_kind::overloaded,
                            outcome::not_run),
                  start, out);
        CHECK(out.home_messages.size() == 2);
        CHECK(out.responses.empty());
    }
    SECTION("unknown: never sent again, and not reported as not run")
    {
        on_result(state,
                  result_of(sent, sent.home, error_kind::answer_cut,
                            outcome::unknown),
                  start, out);
        CHECK(out.home_messages.size() == 1);
        REQUIRE(out.responses.size() == 1);
        CHECK(error_response_for(out.responses[0].kind).run_outcome ==
              outcome::unknown);
    }
    SECTION("the caller disconnects: its attempt is cancelled")
    {
        on_caller_disconnected(state, {sent.id}, start, out);
        CHECK(std::holds_alternative<admission::cancel>(
            out.home_messages.back().content));
        CHECK(state.requests.empty());
    }
}

TEST_CASE("a route with one attempt reaches only one backend server")
{
    // Guards against hedges and retries beyond the operator's limit.
    routing_state state = make_state();
    for (int i = 0; i < 40; ++i)
        add_latency(state.services["orders"].latency, 10ms);
    actions out;
    on_caller_request(state, anonymous_request(1), open_route_lookup(true, 1),
                      start, out);
    on_tick(state, start + 700ms, out);
    CHECK(out.home_messages.size() == 1);
    work_request const sent = last_work_request(out);
    work_result failed =
        result_of(sent, sent.home, error_kind::none, outcome::ran, 500);
    failed.service_time = 1ms;
    on_result(state, std::move(failed), start + 800ms, out);
    CHECK(out.home_messages.size() == 1);
    CHECK(out.responses.size() == 1);
}

TEST_CASE("a retry after a server's own refusal uses the retry budget")
{
    // Guards against floods of retries when every server of a service sheds
    // load.
    routing_state state = make_state();
    int sent_count = 0;
    for (std::uint64_t i = 1; i <= 20; ++i)
    {
        actions out;
        on_caller_request(state, anonymous_request(i), open_route_lookup(true),
                          start, out);
        while (!out.home_messages.empty())
        {
            ++sent_count;
            work_request const sent = last_work_request(out);
            out.home_messages.clear();
            work_result shed = result_of(
                sent, sent.home, error_kind::overloaded, outcome::not_run);
            shed.service_time = 1ms;
            on_result(state, std::move(shed), start, out);
        }
    }
    CHECK(sent_count <= 20 + 3);
}

TEST_CASE("at a shutdown queued requests are refused as not run")
{
    // Guards against a connection that ends without a response because the
    // request was still queued when the process ended.
    routing_state state = make_state();
    actions out;
    on_caller_request(state, anonymous_request(1), open_route_lookup(false),
                      start, out);
    work_request const sent = last_work_request(out);
    on_refuse_unstarted(state, out);
    auto const& cancellation =
        std::get<admission::cancel>(out.home_messages.back().content);
    CHECK(cancellation.is_queued_only);
    on_result(
        state,
        result_of(sent, sent.home, error_kind::cancelled, outcome::not_run),
        start, out);
    REQUIRE(out.responses.size() == 1);
    CHECK(out.responses[0].kind == error_kind::draining);
    on_caller_request(state, anonymous_request(2), open_route_lookup(false),
                      start, out);
    CHECK(out.responses.back().kind == error_kind::draining);
}

TEST_CASE(
    "an unclaimed route needs an account and runs non-repeatable work once")
{
    // Guards against orders that need an idempotency key or a store because
    // their callers have accounts.
    routing_state state = make_state();
    actions out;
    lookup_result lookup = lookup_for(false);
    lookup.route->is_unclaimed = true;
    caller_request request = anonymous_request(1);
    request.credentials = "shop:secret";
    on_caller_request(state, std::move(request), lookup, start, out);
    CHECK(out.claim_messages.empty());
    REQUIRE(out.home_messages.size() == 1);
    work_request const sent = last_work_request(out);
    CHECK(sent.account == "shop");
    on_result(
        state,
        result_of(sent, sent.home, error_kind::answer_cut, outcome::unknown),
        start, out);
    CHECK(out.home_messages.size() == 1);
    CHECK(out.responses.size() == 1);
}

TEST_CASE("an unknown key is refused as unauthenticated only by a current "
          "configuration")
{
    // Guards against a 401 for a key that a version allows which this daemon
    // has not read.
    routing_state state = make_state();
    actions out;
    lookup_result lookup = lookup_for(true);
    lookup.account_key = hash_secret("new key");
    lookup.account.reset();
    lookup.is_current = false;
    on_caller_request(state, request_number(1), lookup, start, out);
    CHECK(out.responses.back().kind == error_kind::no_configuration);
    lookup.is_current = true;
    on_caller_request(state, request_number(2), lookup, start, out);
    CHECK(out.responses.back().kind == error_kind::unauthenticated);
    lookup.account = config::account_view{"shop", hash_secret("new key"), 0, 0};
    on_caller_request(state, request_number(3), lookup, start, out);
    CHECK(out.home_messages.size() == 1);
}

TEST_CASE("a key sent to an open route names no account")
{
    // Guards against a server that is told an account which the route does not
    // ask for.
    routing_state state = make_state();
    actions out;
    lookup_result lookup = open_route_lookup(true);
    lookup.account = config::account_view{"shop", hash_secret("secret"), 0, 0};
    on_caller_request(state, request_number(1), lookup, start, out);
    CHECK(last_work_request(out).account.empty());
}

TEST_CASE("without configuration or accounts no caller is unauthenticated")
{
    routing_state state = make_state();
    actions out;
    lookup_result none;
    none.is_configured = false;
    on_caller_request(state, anonymous_request(1), none, start, out);
    CHECK(out.responses.back().kind == error_kind::no_configuration);
    lookup_result no_accounts;
    no_accounts.has_accounts = false;
    on_caller_request(state, anonymous_request(2), no_accounts, start, out);
    CHECK(out.responses.back().kind == error_kind::no_route);
}

TEST_CASE("a routed request to /keys or /outcome/ is no query to the daemon")
{
    // Guards against an order that the daemon answers with 200 and that never
    // reaches a backend server (review/6).
    struct path_case
    {
        char const* method;
        char const* path;
        bool is_query;
    };
    for (path_case const& item : {path_case{"POST", "/keys", true},
                                  path_case{"GET", "/outcome/k", true},
                                  path_case{"GET", "/keys", false},
                                  path_case{"POST", "/orders", false}})
    {
        INFO(item.method << ' ' << item.path);
        lookup_result lookup = lookup_for(false);
        CHECK_FALSE(is_claim_query(item.method, item.path, lookup));
        lookup.route.reset();
        CHECK(is_claim_query(item.method, item.path, lookup) == item.is_query);
    }
}

TEST_CASE("a request counts as a retry by the share of retries at its VM")
{
    routing_state state = make_state();
    state.local_retry_share = 0.25;
    actions out;
    begin_request(state, true, out);
    CHECK(last_work_request(out).retry_weight == 0.25);
    work_request const first = last_work_request(out);
    on_result(state,
              result_of(first, first.home, error_kind::none, outcome::ran, 500),
              start, out);
    CHECK(last_work_request(out).is_retry);
    CHECK(last_work_request(out).retry_weight == 1);
}

namespace
{

/// A result of the first home, with the status of its server.
work_result result_stating(server_statement const& statement,
                           duration start_wait = duration(0))
{
    server_status status;
    status.server = "s1";
    status.service = "orders";
    status.statement = statement;
    status.start_wait = start_wait;
    work_result result;
    result.home = {1, 1};
    result.statuses.push_back(status);
    return result;
}

} // namespace

TEST_CASE("a server's statement is returned to a home that has forgotten it")
{
    routing_state state = make_state();
    actions out;
    on_result(state, result_stating({true, 5, 2, true}), start, out);
    on_result(state, result_stating({}), start, out);
    members::service_view only_s1 = four_servers();
    only_s1.candidates.resize(1);
    on_service_view(state, only_s1);
    begin_request(state, true, out);
    work_request const& sent = last_work_request(out);
    CHECK(sent.server == "s1");
    CHECK(sent.statement.is_leaving);
    CHECK(sent.statement.incarnation == 5);
    CHECK(sent.statement.rate_limit == 2);
}

TEST_CASE("a refusal for a server's limit tells when there is room")
{
    routing_state state = make_state();
    members::service_view two = four_servers();
    two.candidates.resize(2);
    on_service_view(state, two);
    actions out;
    begin_request(state, true, out);
    for (duration const wait : {3s, 2s})
    {
        work_request const& sent = last_work_request(out);
        work_result refused = result_of(sent, sent.home, error_kind::overloaded,
                                        outcome::not_run);
        refused.retry_after = wait;
        on_result(state, std::move(refused), start, out);
    }
    REQUIRE(out.responses.size() == 1);
    CHECK(out.responses[0].result.retry_after == 2s);
}

TEST_CASE("a refusal that holds for the service ends at the second home")
{
    // Guards against requests that visit ten homes that share a fault.
    routing_state state = make_state();
    on_service_view(state, four_servers());
    actions out;
    begin_request(state, true, out);
    for (duration const wait : {500ms, 200ms})
    {
        CHECK(out.responses.empty());
        work_request const& sent = last_work_request(out);
        work_result refused = result_of(sent, sent.home, error_kind::overloaded,
                                        outcome::not_run);
        refused.is_service_wide = true;
        refused.retry_after = wait;
        on_result(state, std::move(refused), start, out);
    }
    REQUIRE(out.responses.size() == 1);
    CHECK(out.responses[0].result.run_outcome == outcome::not_run);
    CHECK(out.responses[0].result.retry_after == 200ms);
}

TEST_CASE("a server that waits for its own limit is passed over")
{
    routing_state state = make_state();
    actions out;
    on_result(state, result_stating({true, 5, 2, false}, 1s), start, out);
    for (std::uint64_t i = 0; i < 20; ++i)
    {
        on_caller_request(state, request_number(100 + i), lookup_for(true),
                          start, out);
        CHECK(last_work_request(out).server != "s1");
    }
}
