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
        members::candidate who;
        who.server = std::string(1, static_cast<char>('a' + made.size()));
        who.slots = 4;
        who.home = {made.size() + 1, 1};
        who.is_home_alive = letter != 'x';
        if (letter == 'p')
            who.health = health_state::probation;
        if (letter >= '1' && letter <= '9')
            who.health = health_state::ejected;
        who.score = letter - '0';
        if (letter == 'd')
            who.state = members::server_state::draining;
        if (letter == 's')
            note_silence(evidence, who.home.id, hard_silence, start);
        made.push_back(who);
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
        {"h59h", 12, "hkeh", 12}, // wherever it stands
        {"9999", 0, "eeee", 0},   // no floor, no server kept
        {"9999", 16, "kkkk", 16},
        {"9999", 8, "eekk", 8}, // equal scores: by name
        {"hp5h", 8, "hpeh", 8}, // probation counts like an ejection
        {"hpph", 12, "hpkh", 12},
        {"h5dd", 8, "hkdd", 8},  // drains give the floor back its server
        {"h5xx", 8, "hkuu", 8},  // the smaller side of a partition
        {"h5ss", 8, "hkss", 8},  // local cut evidence keeps servers too
        {"h5dd", 20, "hkdd", 8}, // below the floor for other reasons
    }));
    INFO(one.servers << " floor " << one.floor);
    home_evidence evidence;
    auto const candidates = servers(one.servers, evidence);
    assessment const found =
        assess(candidates, one.floor, evidence, start + 1ms);
    CHECK(standings_text(found.standings) == one.standings);
    CHECK(found.capacity == one.capacity);
}

TEST_CASE("probation takes only repeatable work, one at a time")
{
    home_evidence evidence;
    auto candidates = servers("hp", evidence);
    std::vector<standing> const standings{standing::healthy,
                                          standing::probation};
    std::mt19937_64 random(1);
    auto const share = [&](bool repeatable, outstanding_map const& own)
    {
        int hits = 0;
        for (int i = 0; i < 800; ++i)
        {
            choice const made = choose(
                {candidates, standings, own, {}, "dc1", repeatable, true},
                random);
            hits += made.who == &candidates[1];
        }
        return hits;
    };
    int const trickle = share(true, {});
    CHECK((trickle > 50 && trickle < 150));
    CHECK(share(false, {}) == 0);
    CHECK(share(true, {{"b", 1}}) == 0);
    candidates[1].in_flight = 1;
    CHECK(share(true, {}) == 0);
}

TEST_CASE("the own data centre goes first until its choice would queue")
{
    home_evidence evidence;
    auto candidates = servers("hhhh", evidence);
    candidates[0].home_data_centre = candidates[1].home_data_centre = "dc1";
    std::vector<standing> const standings(4, standing::healthy);
    std::mt19937_64 random(1);
    selection const from{candidates, standings, {}, {}, "dc1", true, true};
    for (int i = 0; i < 50; ++i)
        CHECK(choose(from, random).who->home_data_centre == "dc1");
    candidates[0].in_flight = candidates[1].in_flight = 5;
    for (int i = 0; i < 50; ++i)
        CHECK(choose(from, random).who->home_data_centre.empty());
}

TEST_CASE("a server in doubt is avoided at any load of the others")
{
    // Guards against work that goes to a server that has just failed. Repeats
    // are limited, so that the failure of work that may be repeated is often
    // its last attempt too.
    home_evidence evidence;
    auto candidates = servers("hh", evidence);
    std::vector<standing> standings(2, standing::healthy);
    doubt_map const told{{"a", {0.9, start}}, {"b", {0.01, start}}};
    auto const doubts = apply_doubts(candidates, told, start, standings);
    CHECK(standings_text(standings) == "?h");
    std::mt19937_64 random(1);
    for (bool const repeatable : {true, false})
    {
        for (std::uint32_t const load : {4, 16, 28, 100})
        {
            candidates[1].in_flight = load;
            choice const made = choose(
                {candidates, standings, {}, {}, "", repeatable, false, doubts},
                random);
            CHECK(made.who->server == "b");
        }
    }
}

TEST_CASE("no attempt but a test goes to a server in doubt beside a sound one")
{
    // Load: the sound servers are full and refuse. A failing server answers in
    // 2 ms and looks idle, so it drew all work that the others refused.
    home_evidence evidence;
    auto candidates = servers("hhh", evidence);
    std::vector<standing> standings(3, standing::healthy);
    doubt_map const told{
        {"a", {0.9, start}}, {"b", {0.01, start}}, {"c", {0.6, start}}};
    auto const doubts = apply_doubts(candidates, told, start, standings);
    std::mt19937_64 random(1);
    std::vector<daemon_ref> const tried{candidates[1].home};
    selection const next{candidates, standings, {},    tried,
                         "",         false,     false, doubts};
    CHECK(choose(next, random).who == nullptr);
    // Without a sound server the one in least doubt is as good as it gets.
    standings[1] = standing::draining;
    CHECK(choose(next, random).who == &candidates[2]);
}

TEST_CASE("every server in doubt is tested, also one with work in flight")
{
    // Guards against a recovered server that nobody finds: the tests went to
    // the server in least doubt, and only to one without work.
    home_evidence evidence;
    auto candidates = servers("hhh", evidence);
    candidates[0].in_flight = 2;
    std::vector<standing> standings(3, standing::healthy);
    doubt_map const told{
        {"a", {0.99, start}}, {"b", {0.6, start}}, {"c", {0.01, start}}};
    auto const doubts = apply_doubts(candidates, told, start, standings);
    std::mt19937_64 random(1);
    std::map<std::string, int> tests;
    for (int i = 0; i < 600; ++i)
    {
        choice const made = choose(
            {candidates, standings, {}, {}, "", true, true, doubts}, random);
        if (made.reason == "doubt_test")
            ++tests[made.who->server];
    }
    CHECK((tests["a"] > 60 && tests["a"] < 140));
    CHECK((tests["b"] > 60 && tests["b"] < 140));
}

TEST_CASE("a doubt fades when nothing is heard of the server")
{
    home_evidence evidence;
    auto const candidates = servers("h", evidence);
    doubt_map const told{{"a", {0.9, start}}};
    std::vector<standing> standings(1, standing::healthy);
    CHECK(apply_doubts(candidates, told, start + 1s, standings)[0] > 0.6);
    CHECK(apply_doubts(candidates, told, start + 60s, standings)[0] ==
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

TEST_CASE("the 95th percentile needs samples and bounds 95% of them")
{
    latency_histogram histogram;
    for (int i = 1; i < 20; ++i)
        add_latency(histogram, i * 1ms);
    CHECK_FALSE(percentile_95(histogram));
    for (int i = 1; i <= 5000; ++i)
        add_latency(histogram, duration(i % 100 * 1000));
    duration const found = percentile_95(histogram).value();
    CHECK((found >= 95ms && found <= 125ms));
}

TEST_CASE("token buckets refill and stay within bounded memory")
{
    rate_limiter limiter;
    config::account_view const account{"shop", {}, 10, 5};
    int taken = 0;
    for (int i = 0; i < 20; ++i)
        taken += take_token(limiter, account, start);
    CHECK(taken == 5);
    CHECK(take_token(limiter, account, start + 101ms));
    CHECK_FALSE(take_token(limiter, account, start + 102ms));
    for (int i = 0; i < 100000; ++i)
    {
        std::string const name = "other" + std::to_string(i);
        take_token(limiter, {name, {}, 10, 5}, start + 103ms);
    }
    CHECK(limiter.buckets.size() == limiter.sets * limiter.ways);
    // The drained account is not displaced by full buckets of others.
    CHECK_FALSE(take_token(limiter, account, start + 104ms));
}

TEST_CASE("a server kept by the floor is in doubt like any other")
{
    // Guards against work that must not run twice at a server that fails all
    // of it, only because the floor keeps the server in use.
    home_evidence evidence;
    auto const candidates = servers("h9h", evidence);
    std::vector<standing> standings{standing::healthy, standing::kept_by_floor,
                                    standing::healthy};
    doubt_map const told{{"b", {0.9, start}}};
    apply_doubts(candidates, told, start, standings);
    CHECK(standings_text(standings) == "h?h");
}

TEST_CASE("the slack of repeats is divided among the servers that take them")
{
    // Guards against repeats that are refused although the service has many
    // left: a third of the servers failed, and their parts lay unused.
    using enum standing;
    auto const share = [](std::vector<standing> standings) {
        return sharing_servers({std::move(standings), 0});
    };
    CHECK(share({healthy, healthy, healthy}) == 3);
    CHECK(share({healthy, healthy, doubtful}) == 2);
    CHECK(share({healthy, doubtful, ejected, doubtful}) == 2);
    CHECK(share({doubtful}) == 1);
    CHECK(share({}) == 1);
}
