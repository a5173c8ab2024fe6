#include "authenticate.hpp"
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
        members::candidate who;
        who.server = "s" + std::to_string(i);
        who.slots = 4;
        who.home = {i, 1};
        who.home_address = "10.0.0." + std::to_string(i) + ":7000";
        who.home_data_centre = i <= 2 ? "dc1" : "dc2";
        view.candidates.push_back(who);
    }
    return view;
}

state make_state()
{
    state self;
    self.self = {1, 1};
    self.data_centre = "dc1";
    on_view(self, four_servers());
    return self;
}

looked_up config_for(bool repeatable)
{
    looked_up config;
    config.account = config::account_view{"shop", hash_secret("secret"), 0, 0};
    config.route = config::route_view{"r", "orders", 0, repeatable, 1s};
    config.priority_name = "normal";
    return config;
}

caller_request request_number(std::uint64_t number)
{
    caller_request from;
    from.id = {0, number};
    from.credentials = "shop:secret";
    from.method = "POST";
    from.target = "/orders?x=1";
    from.idempotency_key = "k";
    from.received = start;
    return from;
}

work_result result_of(work_request const& sent, daemon_ref home,
                      error_kind kind, outcome known, int status = 200)
{
    work_result result;
    result.id = sent.id;
    result.attempt = sent.attempt;
    result.kind = kind;
    result.run_outcome = known;
    result.status = status;
    result.home = home;
    return result;
}

work_request const& last_work(actions const& out)
{
    return std::get<work_request>(out.sends.back().what);
}

/// Starts a request and grants its claim when it needs one.
void begin(state& self, bool repeatable, actions& out)
{
    on_caller_request(self, request_number(7), config_for(repeatable), start,
                      out);
    if (repeatable)
        return;
    auto const& asked = std::get<claims::claim_request>(out.claim_messages[0]);
    claims::claim_result granted;
    granted.id = asked.id;
    granted.claim = {"c1", 1};
    granted.homes = asked.homes;
    on_claim_result(self, std::move(granted), start, out);
}

struct step
{
    error_kind kind;
    outcome known;
    int status = 200;
};

struct course
{
    std::string failure;
    bool repeatable;
    std::vector<step> steps;
    std::size_t attempts;
    error_kind kind;
};

} // namespace

TEST_CASE("each course of failures ends in the one answer that is true")
{
    using enum error_kind;
    using enum outcome;
    step const refused{overloaded, not_run};
    step const cut{answer_cut, unknown};
    step const good{none, ran, 200};
    step const broken{none, ran, 500};
    auto const row = GENERATE_COPY(values<course>({
        {"success", true, {good}, 1, none},
        {"not run moves on", true, {refused, good}, 2, none},
        {"not run three times",
         true,
         {refused, refused, refused},
         3,
         overloaded},
        {"a cut is retried when repeatable", true, {cut, good}, 2, none},
        {"cut then not run is not 'not run'",
         true,
         {cut, refused, refused},
         3,
         answer_cut},
        {"500 is retried, then passed on",
         true,
         {broken, refused, refused},
         3,
         none},
        {"an unknown result of a refusal kind",
         false,
         {{overloaded, unknown}},
         1,
         outcome_unknown},
        {"timeout before dispatch",
         true,
         {{timed_out, not_run}, {timed_out, not_run}, {timed_out, not_run}},
         3,
         deadline_unmet},
        {"claimed work is never retried after a cut",
         false,
         {cut},
         1,
         answer_cut},
        {"claimed work passes a 500 on", false, {broken}, 1, none},
        {"claimed work moves on when not run", false, {refused, good}, 2, none},
    }));
    INFO(row.failure);
    state self = make_state();
    actions out;
    begin(self, row.repeatable, out);
    for (step const& one : row.steps)
    {
        CHECK(out.replies.empty());
        to_home const to = out.sends.back();
        on_result(self,
                  result_of(std::get<work_request>(to.what), {9, 9}, one.kind,
                            one.known, one.status),
                  start + 1ms, out);
    }
    REQUIRE(out.replies.size() == 1);
    CHECK(out.replies[0].kind == row.kind);
    CHECK(out.sends.size() == row.attempts);
    CHECK(self.requests.empty());
    CHECK(self.timers.empty());
    CHECK(self.services["orders"].outstanding.empty());
}

TEST_CASE("claimed work that did not run is answered after its release")
{
    bool const confirmed = GENERATE(true, false);
    state self = make_state();
    actions out;
    begin(self, false, out);
    for (int i = 0; i < 3; ++i)
        on_result(self,
                  result_of(last_work(out), {9, 9}, error_kind::overloaded,
                            outcome::not_run),
                  start + 1ms, out);
    CHECK(out.replies.empty());
    CHECK(std::get<claims::claim_end>(out.claim_messages.back()).not_run);
    on_claim_released(self, {{0, 7}, confirmed}, start + 2ms, out);
    REQUIRE(out.replies.size() == 1);
    CHECK(out.replies[0].kind ==
          (confirmed ? error_kind::overloaded : error_kind::outcome_unknown));
}

TEST_CASE("claimed work stays at the homes that its claim names")
{
    state self = make_state();
    actions out;
    on_caller_request(self, request_number(7), config_for(false), start, out);
    claims::claim_result granted;
    granted.id = {0, 7};
    granted.claim = {"c1", 1};
    // Daemon 3 has restarted since the claim was written.
    granted.homes = {{{3, 0}, "10.0.0.3:7000"}, {{4, 1}, "10.0.0.4:7000"}};
    on_claim_result(self, std::move(granted), start, out);
    REQUIRE(out.sends.size() == 1);
    CHECK(out.sends[0].address == "10.0.0.4:7000");
    CHECK(last_work(out).claim.id == "c1");
    on_result(self,
              result_of(last_work(out), {4, 1}, error_kind::overloaded,
                        outcome::not_run),
              start, out);
    CHECK(out.sends.size() == 1);
}

TEST_CASE("a silent home of claimed work gives unknown, never not run")
{
    state self = make_state();
    actions out;
    begin(self, false, out);
    on_tick(self, start + 2s, out);
    REQUIRE(out.replies.size() == 1);
    CHECK(out.replies[0].kind == error_kind::timed_out);
    CHECK(out.claim_messages.size() == 1);
    SECTION("the late result is recorded without a second answer")
    {
        on_result(
            self,
            result_of(last_work(out), {9, 9}, error_kind::none, outcome::ran),
            start + 3s, out);
        auto const& end = std::get<claims::claim_end>(out.claim_messages[1]);
        CHECK(end.result.run_outcome == outcome::ran);
    }
    SECTION("without a late result the claim ends as unknown")
    {
        on_tick(self, start + 8s, out);
        auto const& end = std::get<claims::claim_end>(out.claim_messages[1]);
        CHECK(end.result.run_outcome == outcome::unknown);
        CHECK_FALSE(end.not_run);
    }
    CHECK(out.replies.size() == 1);
    CHECK(self.requests.empty());
}

TEST_CASE("a claim granted after the answer is given back unused")
{
    bool const gone = GENERATE(true, false);
    state self = make_state();
    actions out;
    on_caller_request(self, request_number(7), config_for(false), start, out);
    if (gone)
        on_caller_gone(self, {{0, 7}}, start, out);
    else
        on_tick(self, start + 2s, out);
    claims::claim_result granted;
    granted.id = {0, 7};
    granted.claim = {"c1", 1};
    on_claim_result(self, std::move(granted), start + 3s, out);
    CHECK(out.sends.empty());
    auto const& end = std::get<claims::claim_end>(out.claim_messages.back());
    CHECK((end.not_run && end.account == "shop" && end.key == "k"));
    CHECK(out.replies.size() == (gone ? 0 : 1));
    CHECK(self.requests.empty());
}

TEST_CASE("requests that must not run are refused with their own kind")
{
    using enum error_kind;
    struct fault
    {
        error_kind kind;
        std::function<void(state&, caller_request&, looked_up&)> make;
    };
    auto const row = GENERATE(values<fault>({
        {unauthenticated,
         [](auto&, auto& from, auto&) { from.credentials = "shop:other"; }},
        {unauthenticated,
         [](auto&, auto& from, auto&) { from.credentials = "shop"; }},
        {unauthenticated,
         [](auto&, auto&, auto& config) { config.account.reset(); }},
        {no_route, [](auto&, auto&, auto& config) { config.route.reset(); }},
        {bad_request,
         [](auto&, auto& from, auto&) { from.idempotency_key.clear(); }},
        {deadline_unmet,
         [](auto&, auto& from, auto&) { from.received = start - 10s; }},
        {overloaded, [](auto& self, auto&, auto&) { self.most_in_flight = 0; }},
        {no_server, [](auto& self, auto&, auto&) { self.services.clear(); }},
    }));
    state self = make_state();
    caller_request from = request_number(7);
    looked_up config = config_for(false);
    row.make(self, from, config);
    actions out;
    on_caller_request(self, std::move(from), config, start, out);
    REQUIRE(out.replies.size() == 1);
    CHECK(out.replies[0].kind == row.kind);
    CHECK((out.sends.empty() && self.requests.empty()));
}

TEST_CASE("an id in use gets no second answer")
{
    state self = make_state();
    actions out;
    begin(self, true, out);
    on_caller_request(self, request_number(7), config_for(true), start, out);
    CHECK((out.replies.empty() && out.sends.size() == 1));
}

TEST_CASE("the last home that may be tried is told so")
{
    // A home that believes in another home refuses urgent work that waits; at
    // the last one that would lose the request.
    bool const repeatable = GENERATE(true, false);
    state self = make_state();
    actions out;
    begin(self, repeatable, out);
    for (std::size_t tried = 1; tried < max_homes; ++tried)
    {
        CHECK(last_work(out).has_other_homes);
        work_request const sent = last_work(out);
        on_result(self,
                  result_of(sent, {tried, 1}, error_kind::deadline_unmet,
                            outcome::not_run),
                  start, out);
    }
    CHECK_FALSE(last_work(out).has_other_homes);
}

TEST_CASE("an id that is still settled after its answer is told so")
{
    // Without a reply the second caller would wait forever.
    state self = make_state();
    actions out;
    begin(self, false, out);
    on_caller_gone(self, {request_number(7).id}, start, out);
    out = {};
    on_caller_request(self, request_number(7), config_for(false), start, out);
    REQUIRE(out.replies.size() == 1);
    CHECK(out.replies.front().kind == error_kind::in_progress);
}

TEST_CASE("a home behind a one-way cut is skipped until it answers")
{
    state self = make_state();
    actions out;
    begin(self, false, out);
    std::string const silent = out.sends[0].address;
    std::uint64_t const id = silent[7] - '0';
    on_tick(self, start + 2s, out);
    time_point const later = start + 2s;
    CHECK(is_skipped(self.evidence, id, later));
    CHECK_FALSE(is_skipped(self.evidence, id, later + 1001ms));
    on_result(
        self,
        result_of(last_work(out), {id, 1}, error_kind::none, outcome::ran),
        later, out);
    CHECK_FALSE(is_skipped(self.evidence, id, later));
}

TEST_CASE("a slow attempt is hedged once and the loser is cancelled")
{
    state self = make_state();
    service_state& service = self.services["orders"];
    for (int i = 0; i < 100; ++i)
    {
        add_latency(service.latency, 10ms);
        count_request(service.budget, start);
    }
    actions out;
    begin(self, true, out);
    on_tick(self, start + 20ms, out);
    REQUIRE(out.sends.size() == 2);
    CHECK(out.sends[0].address != out.sends[1].address);
    on_result(self,
              result_of(last_work(out), {9, 9}, error_kind::none, outcome::ran),
              start + 25ms, out);
    REQUIRE(out.sends.size() == 3);
    CHECK(std::get<admission::cancel>(out.sends[2].what).attempt == 1);
    CHECK(out.replies.size() == 1);
}

TEST_CASE("any order of late, second and lost results gives one true answer")
{
    for (unsigned seed = 1; seed <= 300; ++seed)
    {
        std::mt19937 random(seed);
        auto const draw = [&](int n) { return static_cast<int>(random() % n); };
        bool const repeatable = draw(2) == 0;
        state self = make_state();
        self.random.seed(seed);
        actions out;
        begin(self, repeatable, out);
        bool maybe_run = false;
        time_point now = start;
        for (int i = 0; i < 40; ++i)
        {
            now += std::chrono::milliseconds(draw(60));
            to_home const& to = out.sends[draw(int(out.sends.size()))];
            auto const* sent = std::get_if<work_request>(&to.what);
            if (draw(3) == 0)
                on_tick(self, now, out);
            else if (sent)
            {
                auto const known = static_cast<outcome>(draw(3));
                std::size_t const before = self.dropped_results;
                work_result made =
                    result_of(*sent, {1, 1}, error_kind::server_failed, known);
                if (known == outcome::ran)
                    made.kind = error_kind::none;
                on_result(self, std::move(made), now, out);
                maybe_run |=
                    before == self.dropped_results && known != outcome::not_run;
            }
        }
        on_tick(self, now + 20s, out);
        on_claim_released(self, {{0, 7}, true}, now, out);
        on_tick(self, now + 40s, out);
        INFO("seed " << seed);
        REQUIRE(out.replies.size() == 1);
        CHECK(self.requests.empty());
        reply const& answer = out.replies[0];
        outcome const told = answer.kind == error_kind::none
                                 ? answer.result.run_outcome
                                 : error_response_for(answer.kind).run_outcome;
        CHECK_FALSE((told == outcome::not_run && maybe_run));
        CHECK((repeatable || out.claim_messages.size() == 2));
    }
}

namespace
{

looked_up open_route(bool repeatable, std::uint32_t attempts = 3)
{
    looked_up config = config_for(repeatable);
    config.account.reset();
    config.route->is_open = true;
    config.route->attempts = attempts;
    return config;
}

caller_request anonymous(std::uint64_t number)
{
    caller_request from = request_number(number);
    from.caller_id = "caller-" + std::to_string(number);
    from.credentials.clear();
    from.idempotency_key.clear();
    return from;
}

} // namespace

TEST_CASE("an open route needs no account and sends unsafe work only once")
{
    state self = make_state();
    actions out;
    on_caller_request(self, anonymous(1), open_route(false), start, out);
    REQUIRE(out.sends.size() == 1);
    CHECK(out.claim_messages.empty());
    CHECK(last_work(out).caller_id == "caller-1");
    work_request const sent = last_work(out);
    SECTION("not run at the home: another home gets it")
    {
        on_result(self,
                  result_of(sent, sent.home, error_kind::overloaded,
                            outcome::not_run),
                  start, out);
        CHECK(out.sends.size() == 2);
        CHECK(out.replies.empty());
    }
    SECTION("unknown: never sent again, and not called unrun")
    {
        on_result(self,
                  result_of(sent, sent.home, error_kind::answer_cut,
                            outcome::unknown),
                  start, out);
        CHECK(out.sends.size() == 1);
        REQUIRE(out.replies.size() == 1);
        CHECK(error_response_for(out.replies[0].kind).run_outcome ==
              outcome::unknown);
    }
    SECTION("the caller leaves: its attempt is withdrawn")
    {
        on_caller_gone(self, {sent.id}, start, out);
        CHECK(std::holds_alternative<admission::cancel>(out.sends.back().what));
        CHECK(self.requests.empty());
    }
}

TEST_CASE("a route of one attempt reaches one backend server")
{
    // Guards against hedges and retries beyond the operator's limit.
    state self = make_state();
    for (int i = 0; i < 40; ++i)
        add_latency(self.services["orders"].latency, 10ms);
    actions out;
    on_caller_request(self, anonymous(1), open_route(true, 1), start, out);
    on_tick(self, start + 700ms, out);
    CHECK(out.sends.size() == 1);
    work_request const sent = last_work(out);
    work_result failed =
        result_of(sent, sent.home, error_kind::none, outcome::ran, 500);
    failed.service_time = 1ms;
    on_result(self, std::move(failed), start + 800ms, out);
    CHECK(out.sends.size() == 1);
    CHECK(out.replies.size() == 1);
}

TEST_CASE("a repeat after a server's own refusal draws on the retry budget")
{
    // Guards against floods of repeats when every server of a service sheds.
    state self = make_state();
    int sends = 0;
    for (std::uint64_t i = 1; i <= 20; ++i)
    {
        actions out;
        on_caller_request(self, anonymous(i), open_route(true), start, out);
        while (!out.sends.empty())
        {
            ++sends;
            work_request const sent = last_work(out);
            out.sends.clear();
            work_result shed = result_of(
                sent, sent.home, error_kind::overloaded, outcome::not_run);
            shed.service_time = 1ms;
            on_result(self, std::move(shed), start, out);
        }
    }
    CHECK(sends <= 20 + 3);
}

TEST_CASE("at a shutdown waiting requests get a refusal that is true")
{
    // Guards against a connection that ends without an answer because the
    // request still waited in a queue when the process ended.
    state self = make_state();
    actions out;
    on_caller_request(self, anonymous(1), open_route(false), start, out);
    work_request const sent = last_work(out);
    on_stop_waiting(self, out);
    auto const& withdrawn = std::get<admission::cancel>(out.sends.back().what);
    CHECK(withdrawn.queued_only);
    on_result(
        self,
        result_of(sent, sent.home, error_kind::cancelled, outcome::not_run),
        start, out);
    REQUIRE(out.replies.size() == 1);
    CHECK(out.replies[0].kind == error_kind::draining);
    on_caller_request(self, anonymous(2), open_route(false), start, out);
    CHECK(out.replies.back().kind == error_kind::draining);
}

TEST_CASE("without a configuration requests are refused and not called unknown")
{
    state self = make_state();
    actions out;
    looked_up none;
    none.configured = false;
    on_caller_request(self, anonymous(1), none, start, out);
    CHECK(out.replies.back().kind == error_kind::no_configuration);
    looked_up no_accounts;
    no_accounts.has_accounts = false;
    on_caller_request(self, anonymous(2), no_accounts, start, out);
    CHECK(out.replies.back().kind == error_kind::no_route);
}

TEST_CASE("a request that a repeated run may have made counts as part of one")
{
    state self = make_state();
    self.local_repeats = 0.25;
    actions out;
    begin(self, true, out);
    CHECK(last_work(out).retry_weight == 0.25);
    work_request const first = last_work(out);
    on_result(self,
              result_of(first, first.home, error_kind::none, outcome::ran, 500),
              start, out);
    CHECK(last_work(out).is_retry);
    CHECK(last_work(out).retry_weight == 1);
}
