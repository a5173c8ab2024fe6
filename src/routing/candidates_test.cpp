#include "candidates.hpp"
#include "rate_limit.hpp"
#include "retry.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::routing;
using namespace std::chrono_literals;

namespace
{

time_point const start{1000s};

/// One letter for each server: h healthy, p probation, 1-9 ejected with that
/// score, d draining, x behind a dead home, s behind a skipped home.
std::vector<members::candidate> servers(std::string_view letters,
                                        home_evidence& evidence)
{
    std::vector<members::candidate> made;
    for (char const letter : letters)
    {
        members::candidate candidate;
        candidate.server = std::string(1, static_cast<char>('a' + made.size()));
        candidate.slots = 4;
        candidate.home = {made.size() + 1, 1};
        candidate.is_home_alive = letter != 'x';
        if (letter == 'p')
            candidate.health = health_state::probation;
        if (letter >= '1' && letter <= '9')
            candidate.health = health_state::ejected;
        candidate.score = letter - '0';
        if (letter == 'd')
            candidate.state = members::server_state::draining;
        if (letter == 's')
            record_unresponsive(evidence, candidate.home.id,
                                no_response_penalty, start);
        made.push_back(candidate);
    }
    return made;
}

std::string standings_text(std::span<standing const> standings)
{
    std::string text;
    for (standing const value : standings)
        text += "h?pksedu"[static_cast<int>(value)];
    return text;
}

} // namespace

TEST_CASE("ejections never take the capacity below the floor")
{
    struct row
    {
        std::string servers;
        std::uint32_t floor;
        std::string standings;
        std::uint32_t capacity;
    };
    auto const one = GENERATE(values<row>({
        {"hhhh", 8, "hhhh", 16},
        {"hh5h", 8, "hheh", 12},
        {"h95h", 12, "hekh", 12}, // the least bad ejected server is kept
        {"h59h", 12, "hkeh", 12}, // whatever its position
        {"9999", 0, "eeee", 0},   // no floor, no server kept
        {"9999", 16, "kkkk", 16},
        {"9999", 8, "eekk", 8}, // equal scores: by name
        {"hp5h", 8, "hpeh", 8}, // probation counts like an ejection
        {"hpph", 12, "hpkh", 12},
        {"h5dd", 8, "hkdd", 8},  // draining servers are no capacity
        {"h5xx", 8, "hkuu", 8},  // servers lost in a partition
        {"h5ss", 8, "hkss", 8},  // servers behind skipped homes
        {"h5dd", 20, "hkdd", 8}, // below the floor for other reasons
    }));
    INFO(one.servers << " floor " << one.floor);
    home_evidence evidence;
    auto const candidates = servers(one.servers, evidence);
    assessment const assessed =
        assess(candidates, one.floor, evidence, start + 1ms);
    CHECK(standings_text(assessed.standings) == one.standings);
    CHECK(assessed.capacity == one.capacity);
}

TEST_CASE("a server in probation gets repeatable work only, one at a time")
{
    home_evidence evidence;
    auto candidates = servers("hp", evidence);
    std::vector<standing> const standings{standing::healthy,
                                          standing::probation};
    std::mt19937_64 random(1);
    auto const count_choices =
        [&](bool repeatable, outstanding_map const& outstanding)
    {
        int hits = 0;
        for (int i = 0; i < 800; ++i)
        {
            choice const chosen = choose({candidates,
                                          standings,
                                          outstanding,
                                          {},
                                          "dc1",
                                          repeatable,
                                          true},
                                         random);
            hits += chosen.candidate == &candidates[1];
        }
        return hits;
    };
    int const trial_count = count_choices(true, {});
    CHECK((trial_count > 50 && trial_count < 150));
    CHECK(count_choices(false, {}) == 0);
    CHECK(count_choices(true, {{"b", 1}}) == 0);
    candidates[1].in_flight = 1;
    CHECK(count_choices(true, {}) == 0);
}

TEST_CASE("the own data centre is preferred until its servers would queue work")
{
    home_evidence evidence;
    auto candidates = servers("hhhh", evidence);
    candidates[0].home_data_centre = candidates[1].home_data_centre = "dc1";
    std::vector<standing> const standings(4, standing::healthy);
    std::mt19937_64 random(1);
    choice_input const input{candidates, standings, {}, {}, "dc1", true, true};
    for (int i = 0; i < 50; ++i)
        CHECK(choose(input, random).candidate->home_data_centre == "dc1");
    candidates[0].in_flight = candidates[1].in_flight = 5;
    for (int i = 0; i < 50; ++i)
        CHECK(choose(input, random).candidate->home_data_centre.empty());
}

TEST_CASE("a suspected server is avoided at any load of the others")
{
    // Guards against work sent to a server that has just failed. Because
    // retries are limited, the first attempt of repeatable work is often its
    // last one too.
    home_evidence evidence;
    auto candidates = servers("hh", evidence);
    std::vector<standing> standings(2, standing::healthy);
    reported_probabilities const reports{{"a", {0.9, start}},
                                         {"b", {0.01, start}}};
    auto const probabilities =
        apply_failure_probabilities(candidates, reports, start, standings);
    CHECK(standings_text(standings) == "?h");
    std::mt19937_64 random(1);
    for (bool const repeatable : {true, false})
    {
        for (std::uint32_t const load : {4, 16, 28, 100})
        {
            candidates[1].in_flight = load;
            choice const chosen = choose({candidates,
                                          standings,
                                          {},
                                          {},
                                          "",
                                          repeatable,
                                          false,
                                          probabilities},
                                         random);
            CHECK(chosen.candidate->server == "b");
        }
    }
}

TEST_CASE("only trials go to a suspected server while a preferred one exists")
{
    // Guards against excess work sent to a failing server. The preferred
    // servers are full and refuse, while a failing server responds in 2 ms and
    // looks idle, so that it received all work that the others refused.
    home_evidence evidence;
    auto candidates = servers("hhh", evidence);
    std::vector<standing> standings(3, standing::healthy);
    reported_probabilities const reports{
        {"a", {0.9, start}}, {"b", {0.01, start}}, {"c", {0.6, start}}};
    auto const probabilities =
        apply_failure_probabilities(candidates, reports, start, standings);
    std::mt19937_64 random(1);
    std::vector<daemon_ref> const tried{candidates[1].home};
    choice_input const next{candidates, standings, {},    tried,
                            "",         false,     false, probabilities};
    CHECK(choose(next, random).candidate == nullptr);
    // Without a preferred server, the suspected one with the lowest failure
    // probability is chosen.
    standings[1] = standing::draining;
    CHECK(choose(next, random).candidate == &candidates[2]);
}

TEST_CASE("every suspected server gets trials, also one with work in flight")
{
    // Guards against a recovered server that stays unused: trials went only to
    // the server with the lowest failure probability, and only to one without
    // work.
    home_evidence evidence;
    auto candidates = servers("hhh", evidence);
    candidates[0].in_flight = 2;
    std::vector<standing> standings(3, standing::healthy);
    reported_probabilities const reports{
        {"a", {0.99, start}}, {"b", {0.6, start}}, {"c", {0.01, start}}};
    auto const probabilities =
        apply_failure_probabilities(candidates, reports, start, standings);
    std::mt19937_64 random(1);
    std::map<std::string, int> trials;
    for (int i = 0; i < 600; ++i)
    {
        choice const chosen = choose(
            {candidates, standings, {}, {}, "", true, true, probabilities},
            random);
        if (chosen.reason == "doubt_test")
            ++trials[chosen.candidate->server];
    }
    CHECK((trials["a"] > 60 && trials["a"] < 140));
    CHECK((trials["b"] > 60 && trials["b"] < 140));
}

TEST_CASE("a failure probability decays while there are no new reports")
{
    home_evidence evidence;
    auto const candidates = servers("h", evidence);
    reported_probabilities const reports{{"a", {0.9, start}}};
    std::vector<standing> standings(1, standing::healthy);
    CHECK(apply_failure_probabilities(candidates, reports, start + 1s,
                                      standings)[0] > 0.6);
    CHECK(apply_failure_probabilities(candidates, reports, start + 60s,
                                      standings)[0] ==
          Approx(prior_failure_probability).margin(0.01));
}

TEST_CASE("retries and hedges stay within their budgets")
{
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 10; ++i)
        retries += take_retry(budget, start);
    CHECK(retries == 3);
    CHECK_FALSE(take_hedge(budget, start));
    for (int i = 0; i < 1000; ++i)
        count_request(budget, start + 1s);
    int hedges = 0;
    for (int i = 0; i < 1000; ++i)
        hedges += take_hedge(budget, start + 1s);
    CHECK(hedges == 50);
    for (int i = 0; i < 1000; ++i)
        retries += take_retry(budget, start + 2s);
    CHECK(retries + hedges == 100);
    CHECK(take_retry(budget, start + 20s));
}

TEST_CASE("the 95th percentile needs 20 samples and bounds 95% of them")
{
    latency_histogram histogram;
    for (int i = 1; i < 20; ++i)
        add_latency(histogram, i * 1ms);
    CHECK_FALSE(percentile_95(histogram));
    for (int i = 1; i <= 5000; ++i)
        add_latency(histogram, duration(i % 100 * 1000));
    duration const latency_p95 = percentile_95(histogram).value();
    CHECK((latency_p95 >= 95ms && latency_p95 <= 125ms));
}

TEST_CASE("token buckets refill and stay within bounded memory")
{
    rate_limiter limiter;
    config::account_view const account{"shop", {}, 10, 5};
    int accepted = 0;
    for (int i = 0; i < 20; ++i)
        accepted += take_token(limiter, account, start);
    CHECK(accepted == 5);
    CHECK(take_token(limiter, account, start + 101ms));
    CHECK_FALSE(take_token(limiter, account, start + 102ms));
    for (int i = 0; i < 100000; ++i)
    {
        std::string const name = "other" + std::to_string(i);
        take_token(limiter, {name, {}, 10, 5}, start + 103ms);
    }
    CHECK(limiter.buckets.size() == limiter.sets * limiter.ways);
    // The bucket of the account without tokens is not replaced by those of
    // other accounts.
    CHECK_FALSE(take_token(limiter, account, start + 104ms));
}

TEST_CASE("a server kept by the floor becomes suspected like any other")
{
    // Guards against sending work that must not run twice to a server that
    // fails all work, only because the floor keeps the server in use.
    home_evidence evidence;
    auto const candidates = servers("h9h", evidence);
    std::vector<standing> standings{standing::healthy, standing::kept_by_floor,
                                    standing::healthy};
    reported_probabilities const reports{{"b", {0.9, start}}};
    apply_failure_probabilities(candidates, reports, start, standings);
    CHECK(standings_text(standings) == "h?h");
}

TEST_CASE("the parts of the retry slack add up to the slack while servers fail")
{
    // Suspected servers receive retries as well when no other server is left.
    using enum standing;
    auto const count_servers = [](std::vector<standing> standings) {
        return count_retry_limit_servers({std::move(standings), 0});
    };
    CHECK(count_servers(std::vector<standing>(8, suspected)) == 8);
    CHECK(count_servers({healthy, healthy, healthy}) == 3);
    CHECK(count_servers({healthy, healthy, suspected}) == 3);
    CHECK(count_servers({healthy, suspected, ejected, draining}) == 4);
    CHECK(count_servers({unreachable}) == 1);
    CHECK(count_servers({}) == 1);
}
