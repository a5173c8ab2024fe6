#include "config/config_thread.hpp"
#include "config/document.hpp"
#include "config/versions.hpp"
#include "fake_platform/platform.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <thread>

using namespace gooseberrycove;
using namespace gooseberrycove::config;
using namespace std::chrono_literals;
namespace platform_rules = gooseberrycove::fake_platform;

namespace
{

constexpr std::string_view first_patch =
    R"({"priorities":{"p":{"rank":0,"target_ms":50}},
        "services":{"s":{"floor_slots":1,"priorities":{"p":{}}}}})";
constexpr std::string_view next_patch =
    R"({"services":{"s":{"floor_slots":2}}})";

/// One daemon whose calls to the platform are answered at once.
struct rig
{
    platform_rules::state platform =
        platform_rules::make_state(1e6, 1e6, 1, time_point{1h});
    state duty;
    time_point now{1h};
    std::vector<peer::outgoing> sends;
    std::vector<patch_result> outcomes;
    std::vector<history_answer> histories;
    std::size_t calls = 0;

    rig()
    {
        duty.own_address = "self";
        // Rates are refilled from this point on.
        platform.reads.refilled = platform.writes.refilled = now;
    }

    template <class Decide>
    void run(Decide decide)
    {
        actions out;
        decide(out);
        perform(out);
    }

    void perform(actions& out)
    {
        std::move(out.sends.begin(), out.sends.end(),
                  std::back_inserter(sends));
        for (patch_answer& one : out.patches)
            outcomes.push_back(std::move(one.outcome));
        std::move(out.histories.begin(), out.histories.end(),
                  std::back_inserter(histories));
        for (store::request const& one : out.calls)
            call(one);
    }

    void call(store::request const& one)
    {
        ++calls;
        using platform_decision = platform_rules::admission::decision;
        auto const admitted =
            on_call(platform, "self", platform_rules::is_write(one.op), now);
        store::reply got;
        got.result = store::status::refused;
        if (admitted.result == platform_decision::run)
            got = on_operation(platform, one.op);
        if (admitted.lose_reply)
            got = {0, store::status::unknown, {}, {}};
        got.number = one.number;
        run([&](actions& out) { on_store_reply(duty, got, now, out); });
    }

    void tick()
    {
        run([&](actions& out) { CHECK(on_tick(duty, now, out) > now); });
    }

    void pass(duration time)
    {
        for (time_point const end = now + time; now < end; now += 50ms)
            tick();
    }

    patch_result patch(std::uint64_t base, std::string_view text,
                       std::string id = "")
    {
        patch_request const asked{base, std::string(text), std::move(id), "me",
                                  nullptr};
        run([&](actions& out) { on_patch(duty, asked, now, out); });
        pass(12s);
        REQUIRE(!outcomes.empty());
        return outcomes.back();
    }

    /// Commits versions up to \p last.
    void commit_up_to(std::uint64_t last)
    {
        while (duty.current->version() < last)
        {
            std::uint64_t const base = duty.current->version();
            patch_request const asked{
                base, std::string(base == 0 ? first_patch : next_patch),
                fmt::format("id{}", base + 1), "me", nullptr};
            run([&](actions& out) { on_patch(duty, asked, now, out); });
            tick();
            REQUIRE(duty.current->version() == base + 1);
        }
    }

    /// A crash and a restart.
    void restart()
    {
        duty = state{};
        duty.own_address = "self";
        calls = 0;
    }

    void peers(std::vector<std::string> addresses)
    {
        run([&](actions& out)
            { on_live_peers(duty, {std::move(addresses)}, now, out); });
    }

    void hear(std::string address, std::uint64_t version)
    {
        run(
            [&](actions& out) {
                on_peer_version(duty, {std::move(address), version}, now, out);
            });
    }

    void store(platform_rules::mode mode) { platform.faults.mode = mode; }
};

using platform_rules::mode;

} // namespace

TEST_CASE("a new daemon is ready only with the newest version it heard of")
{
    rig one;
    SECTION("an empty store is a configuration too")
    {
        one.pass(1s);
        CHECK(one.duty.ready);
    }
    SECTION("no store and no peers")
    {
        one.store(mode::down);
        one.pass(30s);
        CHECK_FALSE(one.duty.ready);
    }
    SECTION("no store: three peers must tell, and their newest be held")
    {
        one.store(mode::down);
        one.peers({"a", "b", "c", "d"});
        one.pass(2s);
        one.hear("a", 1);
        one.hear("a", 1);
        one.hear("b", 0);
        one.hear("c", 2);
        deltas const first{
            "a", 0, {}, {{1, "x", "", std::string(first_patch)}}};
        one.run([&](actions& out)
                { on_deltas(one.duty, first, one.now, out); });
        CHECK_FALSE(one.duty.ready);
        one.hear("d", 1);
        CHECK_FALSE(one.duty.ready);
        deltas const second{
            "c", 0, {}, {{2, "y", "", std::string(next_patch)}}};
        one.run([&](actions& out)
                { on_deltas(one.duty, second, one.now, out); });
        CHECK(one.duty.ready);
    }
    SECTION("no store: the only known peer is enough")
    {
        one.store(mode::down);
        one.peers({"a", "self"});
        one.pass(2s);
        CHECK(std::holds_alternative<pull>(one.sends.back().content));
        deltas const all{
            "a", 1, render_document(*apply_patch({}, first_patch, 1).data), {}};
        one.run([&](actions& out) { on_deltas(one.duty, all, one.now, out); });
        CHECK(one.duty.ready);
        CHECK(one.duty.current->version() == 1);
    }
    SECTION("a store that answers but is ahead of what can be read")
    {
        one.commit_up_to(0);
        one.pass(1s);
        one.commit_up_to(3);
        one.platform.rows.erase(patch_key(2));
        one.restart();
        one.pass(20s);
        CHECK_FALSE(one.duty.ready);
        CHECK(one.duty.current->version() == 1);
    }
}

TEST_CASE("a daemon that is not ready neither answers pulls nor takes patches")
{
    // Its old version would count as that of a ready peer.
    rig one;
    one.store(mode::down);
    one.peers({"a"});
    one.pass(1s);
    one.sends.clear();
    one.run([&](actions& out) { on_pull(one.duty, {"a", 0}, one.now, out); });
    CHECK(one.sends.empty());
    CHECK(one.patch(0, first_patch).kind == error_kind::store_unavailable);
}

TEST_CASE("a restarted daemon reads the latest usable snapshot, then patches")
{
    rig one;
    one.pass(1s);
    one.commit_up_to(460);
    std::string const document = render_document(one.duty.current->data());
    CHECK(one.platform.objects.size() == 7);
    bool const lost = GENERATE(false, true);
    if (lost)
    {
        one.platform.objects.erase(snapshot_name(448));
        one.platform.objects[snapshot_name(384)] = "{";
    }
    one.restart();
    one.pass(1s);
    CHECK(one.duty.current->version() == 460);
    CHECK(render_document(one.duty.current->data()) == document);
    // The poll, the snapshots and one or two scans.
    CHECK(one.calls <= (lost ? 7 : 3));
}

TEST_CASE("a peer that does not send a version does not hold it back")
{
    // Each poll that found a newer version used to start the wait anew.
    rig one;
    one.pass(1s);
    one.commit_up_to(5);
    rig other;
    other.now = one.now;
    other.pass(1s);
    other.platform = one.platform;
    other.peers({"silent"});
    other.pass(4s);
    CHECK(other.duty.current->version() == 5);
}

TEST_CASE("a poll without reply does not make the loop spin")
{
    // The next poll was due while the last one still had no reply.
    state duty;
    actions out;
    for (time_point now{1h}; now < time_point{1h} + 10s; now += 200ms)
        CHECK(on_tick(duty, now, out) > now);
    // The first, and one after the first was given up.
    CHECK(out.calls.size() == 2);
}

TEST_CASE("a stale patch is told the newest hundred patches since its base")
{
    rig one;
    one.pass(1s);
    one.commit_up_to(150);
    patch_result const outcome = one.patch(20, next_patch);
    CHECK(outcome.kind == error_kind::stale_version);
    CHECK(outcome.version == 150);
    REQUIRE(outcome.patches_since_base.size() == 100);
    CHECK(outcome.patches_since_base.front().version == 51);
    CHECK(one.patch(151, next_patch).kind == error_kind::stale_version);
    CHECK(one.duty.current->version() == 150);
}

TEST_CASE("a patch sent again with its id is not applied twice")
{
    rig one;
    one.pass(1s);
    one.commit_up_to(3);
    patch_result const outcome = one.patch(2, next_patch, "id3");
    CHECK(outcome.kind == error_kind::none);
    CHECK(outcome.version == 3);
    CHECK(one.duty.current->version() == 3);
}

TEST_CASE("an id used twice does not pass another patch off as committed")
{
    // Another daemon commits id "x" with another text at the same time.
    rig one;
    one.pass(1s);
    one.commit_up_to(1);
    rig other;
    other.platform = one.platform;
    other.now = one.now;
    other.pass(1s);
    CHECK(other.patch(1, R"({"services":{"s":{"floor_slots":7}}})", "x").kind ==
          error_kind::none);
    one.platform = other.platform;
    one.now = other.now;
    one.platform.faults.lose_reply = 1;
    one.run(
        [&](actions& out)
        {
            on_patch(one.duty, {1, std::string(next_patch), "x", "", nullptr},
                     one.now, out);
        });
    one.platform.faults.lose_reply = 0;
    one.pass(5s);
    REQUIRE(!one.outcomes.empty());
    CHECK(one.outcomes.back().kind == error_kind::stale_version);
    CHECK(find_service(one.duty.current->data(), "s")->floor_slots == 7);
}

TEST_CASE("a store that lost versions does not take the daemon back")
{
    rig one;
    one.pass(1s);
    one.commit_up_to(2);
    auto const old = one.platform.rows;
    one.commit_up_to(4);
    one.platform.rows = old;
    one.pass(5s);
    CHECK(one.duty.current->version() == 4);
    CHECK(one.patch(4, next_patch).kind == error_kind::store_unavailable);
    CHECK(one.duty.current->version() == 4);
}

TEST_CASE("an outcome that stays unknown is reported as unknown")
{
    rig one;
    one.pass(1s);
    one.commit_up_to(1);
    one.platform.faults.lose_reply = 1;
    patch_result const outcome = one.patch(1, next_patch, "x");
    CHECK(outcome.kind == error_kind::internal);
    CHECK(error_response_for(outcome.kind).run_outcome == outcome::unknown);
    one.platform.faults.lose_reply = 0;
    one.pass(2s);
    CHECK(one.duty.current->version() == 2);
}

TEST_CASE("a document from a peer cannot decide a write without reply")
{
    // The document does not show which patch led to the version after base.
    rig one;
    one.pass(1s);
    one.commit_up_to(1);
    actions out;
    on_patch(one.duty, {1, std::string(next_patch), "x", "", nullptr}, one.now,
             out);
    bool const reply_lost = GENERATE(false, true);
    if (reply_lost)
        on_store_reply(one.duty,
                       {out.calls[0].number, store::status::unknown, {}, {}},
                       one.now, out);
    deltas const all{"a", 9, render_document(one.duty.current->data()), {}};
    on_deltas(one.duty, all, one.now, out);
    REQUIRE(out.patches.size() == 1);
    CHECK(out.patches[0].outcome.kind == error_kind::internal);
}

TEST_CASE("peers get the patches that they lack, or the whole document")
{
    rig one;
    one.pass(1s);
    one.commit_up_to(300);
    auto const answer_to = [&](std::uint64_t after)
    {
        one.sends.clear();
        one.run(
            [&](actions& out) {
                on_pull(one.duty, {"a", after}, one.now, out);
            });
        return one.sends.empty() ? deltas{}
                                 : std::get<deltas>(one.sends[0].content);
    };
    CHECK(answer_to(120).entries.size() == 100);
    CHECK(answer_to(120).entries.front().version == 121);
    CHECK(answer_to(300).entries.empty());
    one.duty.history.erase(one.duty.history.begin(),
                           one.duty.history.end() - 10);
    CHECK(answer_to(120).snapshot_version == 300);
    // At most one whole document per second.
    CHECK(answer_to(120).sender_address.empty());
}

TEST_CASE("history that is not held is read from the store")
{
    rig one;
    one.pass(1s);
    one.commit_up_to(400);
    one.restart();
    one.pass(1s);
    auto const ask = [&](std::uint64_t since)
    {
        one.run(
            [&](actions& out) {
                on_history(one.duty, {since, nullptr}, one.now, out);
            });
        return one.histories.back().list;
    };
    CHECK(ask(3).size() == 100);
    CHECK(ask(3).front().version == 4);
    CHECK(ask(398).size() == 2);
    one.store(mode::down);
    CHECK(ask(3).back().version == 400);
}

TEST_CASE("the thread tells every duty a version and answers the patch")
{
    inbox messages(64);
    routing::inbox to_routing(64);
    admission::inbox to_admission(64);
    members::inbox to_members(64);
    peer::inbox to_peer(request_ring_capacity);
    store::inbox to_store(64);
    std::atomic<bool> ready = false;
    std::thread duty(
        [&]
        {
            run(messages, {to_routing, to_admission, to_members, to_peer,
                           to_store, "127.0.0.1:1", false, ready});
        });
    std::thread platform(
        [&]
        {
            auto rules = platform_rules::make_state(1e6, 1e6, 1, clock_now());
            std::vector<store::request> calls;
            while (to_store.pop_until(calls, clock_now() + 1h))
            {
                for (store::request& one : calls)
                {
                    store::reply got = on_operation(rules, one.op);
                    got.number = one.number;
                    one.deliver(std::move(got));
                }
                calls.clear();
            }
        });
    ring<patch_result> answers(1);
    std::vector<members::message> told;
    to_members.pop_until(told, clock_now() + 60s);
    CHECK(ready);
    messages.try_push(patch_request{0, std::string(first_patch), "", "me",
                                    [&](patch_result&& got)
                                    { answers.try_push(std::move(got)); }});
    std::vector<patch_result> outcomes;
    answers.pop_until(outcomes, clock_now() + 60s);
    messages.close();
    duty.join();
    to_store.close();
    platform.join();
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0].version == 1);
    std::vector<routing::message> routed;
    to_routing.pop_all(routed);
    REQUIRE(!routed.empty());
    CHECK(std::get<in_force>(routed.back()).current->version() == 1);
}
