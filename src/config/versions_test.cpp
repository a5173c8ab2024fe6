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

/// One daemon whose calls to the platform return at once.
struct daemon_fixture
{
    platform_rules::state platform =
        platform_rules::make_state(1e6, 1e6, 1, time_point{1h});
    state duty;
    time_point now{1h};
    std::vector<peer::outgoing> sends;
    std::vector<patch_result> results;
    std::vector<history_response> history_responses;
    std::size_t calls = 0;

    daemon_fixture()
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
        for (patch_response& response : out.patch_responses)
            results.push_back(std::move(response.result));
        std::move(out.history_responses.begin(), out.history_responses.end(),
                  std::back_inserter(history_responses));
        for (store::request const& request : out.calls)
            run_call(request);
    }

    void run_call(store::request const& request)
    {
        ++calls;
        using platform_decision = platform_rules::admission::decision;
        auto const admitted = on_call(
            platform, "self", platform_rules::is_write(request.op), now);
        store::reply reply;
        reply.result = store::status::refused;
        if (admitted.result == platform_decision::run)
            reply = on_operation(platform, request.op);
        if (admitted.lose_reply)
            reply = {0, store::status::unknown, {}, {}};
        reply.number = request.number;
        run([&](actions& out) { on_store_reply(duty, reply, now, out); });
    }

    void tick()
    {
        run([&](actions& out) { CHECK(on_tick(duty, now, out) > now); });
    }

    void advance(duration time)
    {
        for (time_point const end = now + time; now < end; now += 50ms)
            tick();
    }

    patch_result patch(std::uint64_t base, std::string_view text,
                       std::string id = "")
    {
        patch_request const request{base, std::string(text), std::move(id),
                                    "me", nullptr};
        run([&](actions& out) { on_patch(duty, request, now, out); });
        advance(12s);
        REQUIRE(!results.empty());
        return results.back();
    }

    /// Commits versions up to \p last.
    void commit_up_to(std::uint64_t last)
    {
        while (duty.current->version() < last)
        {
            std::uint64_t const base = duty.current->version();
            patch_request const request{
                base, std::string(base == 0 ? first_patch : next_patch),
                fmt::format("id{}", base + 1), "me", nullptr};
            run([&](actions& out) { on_patch(duty, request, now, out); });
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

    void set_peers(std::vector<std::string> addresses)
    {
        run([&](actions& out)
            { on_live_peers(duty, {std::move(addresses)}, now, out); });
    }

    void receive_version(std::string address, std::uint64_t version)
    {
        run(
            [&](actions& out) {
                on_peer_version(duty, {std::move(address), version}, now, out);
            });
    }

    void set_store_mode(platform_rules::mode mode)
    {
        platform.faults.mode = mode;
    }
};

using platform_rules::mode;

} // namespace

TEST_CASE(
    "a new daemon is not ready before it holds the newest reported version")
{
    daemon_fixture daemon;
    SECTION("an empty store counts as a configuration")
    {
        daemon.advance(1s);
        CHECK(daemon.duty.is_ready);
    }
    SECTION("no store and no peers")
    {
        daemon.set_store_mode(mode::down);
        daemon.advance(30s);
        CHECK_FALSE(daemon.duty.is_ready);
    }
    SECTION("no store: three peers report, and the newest version is in force")
    {
        daemon.set_store_mode(mode::down);
        daemon.set_peers({"a", "b", "c", "d"});
        daemon.advance(2s);
        daemon.receive_version("a", 1);
        daemon.receive_version("a", 1);
        daemon.receive_version("b", 0);
        daemon.receive_version("c", 2);
        deltas const first{
            "a", 0, {}, {{1, "x", "", std::string(first_patch)}}};
        daemon.run([&](actions& out)
                   { on_deltas(daemon.duty, first, daemon.now, out); });
        CHECK_FALSE(daemon.duty.is_ready);
        daemon.receive_version("d", 1);
        CHECK_FALSE(daemon.duty.is_ready);
        deltas const second{
            "c", 0, {}, {{2, "y", "", std::string(next_patch)}}};
        daemon.run([&](actions& out)
                   { on_deltas(daemon.duty, second, daemon.now, out); });
        CHECK(daemon.duty.is_ready);
    }
    SECTION("no store: a report of the only peer is enough")
    {
        daemon.set_store_mode(mode::down);
        daemon.set_peers({"a", "self"});
        daemon.advance(2s);
        CHECK(std::holds_alternative<pull>(daemon.sends.back().content));
        deltas const all{
            "a", 1, render_document(*apply_patch({}, first_patch, 1).data), {}};
        daemon.run([&](actions& out)
                   { on_deltas(daemon.duty, all, daemon.now, out); });
        CHECK(daemon.duty.is_ready);
        CHECK(daemon.duty.current->version() == 1);
    }
    SECTION("the store names a version whose patches cannot be read")
    {
        daemon.commit_up_to(0);
        daemon.advance(1s);
        daemon.commit_up_to(3);
        daemon.platform.rows.erase(patch_key(2));
        daemon.restart();
        daemon.advance(20s);
        CHECK_FALSE(daemon.duty.is_ready);
        CHECK(daemon.duty.current->version() == 1);
    }
}

TEST_CASE(
    "a daemon that is not ready does not reply to pulls or accept patches")
{
    // Peers would count its old version as that of a ready daemon.
    daemon_fixture daemon;
    daemon.set_store_mode(mode::down);
    daemon.set_peers({"a"});
    daemon.advance(1s);
    daemon.sends.clear();
    daemon.run(
        [&](actions& out) {
            on_pull(daemon.duty, {"a", 0}, daemon.now, out);
        });
    CHECK(daemon.sends.empty());
    CHECK(daemon.patch(0, first_patch).kind == error_kind::store_unavailable);
}

TEST_CASE("a restarted daemon reads the latest usable snapshot, then patches")
{
    daemon_fixture daemon;
    daemon.advance(1s);
    daemon.commit_up_to(460);
    std::string const document = render_document(daemon.duty.current->data());
    CHECK(daemon.platform.objects.size() == 7);
    bool const has_lost_snapshots = GENERATE(false, true);
    if (has_lost_snapshots)
    {
        daemon.platform.objects.erase(snapshot_name(448));
        daemon.platform.objects[snapshot_name(384)] = "{";
    }
    daemon.restart();
    daemon.advance(1s);
    CHECK(daemon.duty.current->version() == 460);
    CHECK(render_document(daemon.duty.current->data()) == document);
    // The poll, the snapshots and one or two scans.
    CHECK(daemon.calls <= (has_lost_snapshots ? 7 : 3));
}

TEST_CASE("a peer that does not send a version does not delay it without limit")
{
    // Guards against a wait for the peer that starts again with each poll that
    // finds a newer version.
    daemon_fixture daemon;
    daemon.advance(1s);
    daemon.commit_up_to(5);
    daemon_fixture other;
    other.now = daemon.now;
    other.advance(1s);
    other.platform = daemon.platform;
    other.set_peers({"unresponsive"});
    other.advance(4s);
    CHECK(other.duty.current->version() == 5);
}

TEST_CASE("a poll without reply does not make the loop spin")
{
    // Guards against a next run that is due at once when the next poll is due
    // while the last one still has no reply.
    state duty;
    actions out;
    for (time_point now{1h}; now < time_point{1h} + 10s; now += 200ms)
        CHECK(on_tick(duty, now, out) > now);
    // The first poll, and a second one after the first was abandoned.
    CHECK(out.calls.size() == 2);
}

TEST_CASE(
    "the response to a stale patch holds the newest 100 patches since its base")
{
    daemon_fixture daemon;
    daemon.advance(1s);
    daemon.commit_up_to(150);
    patch_result const result = daemon.patch(20, next_patch);
    CHECK(result.kind == error_kind::stale_version);
    CHECK(result.version == 150);
    REQUIRE(result.patches_since_base.size() == 100);
    CHECK(result.patches_since_base.front().version == 51);
    CHECK(daemon.patch(151, next_patch).kind == error_kind::stale_version);
    CHECK(daemon.duty.current->version() == 150);
}

TEST_CASE("a patch sent again with its id is not applied twice")
{
    daemon_fixture daemon;
    daemon.advance(1s);
    daemon.commit_up_to(3);
    patch_result const result = daemon.patch(2, next_patch, "id3");
    CHECK(result.kind == error_kind::none);
    CHECK(result.version == 3);
    CHECK(daemon.duty.current->version() == 3);
}

TEST_CASE("another patch with the same id is not reported as this one's commit")
{
    // Guards against a false success when another daemon commits id "x" with
    // another text at the same time.
    daemon_fixture daemon;
    daemon.advance(1s);
    daemon.commit_up_to(1);
    daemon_fixture other;
    other.platform = daemon.platform;
    other.now = daemon.now;
    other.advance(1s);
    CHECK(other.patch(1, R"({"services":{"s":{"floor_slots":7}}})", "x").kind ==
          error_kind::none);
    daemon.platform = other.platform;
    daemon.now = other.now;
    daemon.platform.faults.lose_reply = 1;
    daemon.run(
        [&](actions& out)
        {
            on_patch(daemon.duty,
                     {1, std::string(next_patch), "x", "", nullptr}, daemon.now,
                     out);
        });
    daemon.platform.faults.lose_reply = 0;
    daemon.advance(5s);
    REQUIRE(!daemon.results.empty());
    CHECK(daemon.results.back().kind == error_kind::stale_version);
    CHECK(find_service(daemon.duty.current->data(), "s")->floor_slots == 7);
}

TEST_CASE("a store that lost versions does not lower the version in force")
{
    daemon_fixture daemon;
    daemon.advance(1s);
    daemon.commit_up_to(2);
    auto const earlier_rows = daemon.platform.rows;
    daemon.commit_up_to(4);
    daemon.platform.rows = earlier_rows;
    daemon.advance(5s);
    CHECK(daemon.duty.current->version() == 4);
    CHECK(daemon.patch(4, next_patch).kind == error_kind::store_unavailable);
    CHECK(daemon.duty.current->version() == 4);
}

TEST_CASE("an outcome that cannot be determined is reported as unknown")
{
    daemon_fixture daemon;
    daemon.advance(1s);
    daemon.commit_up_to(1);
    daemon.platform.faults.lose_reply = 1;
    patch_result const result = daemon.patch(1, next_patch, "x");
    CHECK(result.kind == error_kind::internal);
    CHECK(error_response_for(result.kind).run_outcome == outcome::unknown);
    daemon.platform.faults.lose_reply = 0;
    daemon.advance(2s);
    CHECK(daemon.duty.current->version() == 2);
}

TEST_CASE(
    "a document from a peer does not decide the result of a pending write")
{
    // Guards against a wrong result: the document does not show which patch led
    // to the version after the base.
    daemon_fixture daemon;
    daemon.advance(1s);
    daemon.commit_up_to(1);
    actions out;
    on_patch(daemon.duty, {1, std::string(next_patch), "x", "", nullptr},
             daemon.now, out);
    bool const is_reply_lost = GENERATE(false, true);
    if (is_reply_lost)
        on_store_reply(daemon.duty,
                       {out.calls[0].number, store::status::unknown, {}, {}},
                       daemon.now, out);
    deltas const all{"a", 9, render_document(daemon.duty.current->data()), {}};
    on_deltas(daemon.duty, all, daemon.now, out);
    REQUIRE(out.patch_responses.size() == 1);
    CHECK(out.patch_responses[0].result.kind == error_kind::internal);
}

TEST_CASE("peers receive the patches that they lack, or the whole document")
{
    daemon_fixture daemon;
    daemon.advance(1s);
    daemon.commit_up_to(300);
    auto const reply_to = [&](std::uint64_t after)
    {
        daemon.sends.clear();
        daemon.run(
            [&](actions& out) {
                on_pull(daemon.duty, {"a", after}, daemon.now, out);
            });
        return daemon.sends.empty() ? deltas{}
                                    : std::get<deltas>(daemon.sends[0].content);
    };
    CHECK(reply_to(120).entries.size() == 100);
    CHECK(reply_to(120).entries.front().version == 121);
    CHECK(reply_to(300).entries.empty());
    daemon.duty.history.erase(daemon.duty.history.begin(),
                              daemon.duty.history.end() - 10);
    CHECK(reply_to(120).snapshot_version == 300);
    // At most one whole document per second.
    CHECK(reply_to(120).sender_address.empty());
}

TEST_CASE("history that is not held is read from the store")
{
    daemon_fixture daemon;
    daemon.advance(1s);
    daemon.commit_up_to(400);
    daemon.restart();
    daemon.advance(1s);
    auto const request_history = [&](std::uint64_t since)
    {
        daemon.run(
            [&](actions& out) {
                on_history(daemon.duty, {since, nullptr}, daemon.now, out);
            });
        return daemon.history_responses.back().entries;
    };
    CHECK(request_history(3).size() == 100);
    CHECK(request_history(3).front().version == 4);
    CHECK(request_history(398).size() == 2);
    daemon.set_store_mode(mode::down);
    CHECK(request_history(3).back().version == 400);
}

TEST_CASE(
    "the thread sends each version to every duty and responds to the patch")
{
    inbox messages(64);
    routing::inbox to_routing(64);
    admission::inbox to_admission(64);
    members::inbox to_members(64);
    peer::inbox to_peer(request_ring_capacity);
    store::inbox to_store(64);
    claims::inbox to_claims(64);
    std::atomic<bool> ready = false;
    std::thread duty_thread(
        [&]
        {
            run(messages, {to_routing, to_admission, to_members, to_peer,
                           to_store, to_claims, "127.0.0.1:1", false, ready});
        });
    std::thread platform_thread(
        [&]
        {
            auto platform_state =
                platform_rules::make_state(1e6, 1e6, 1, clock_now());
            std::vector<store::request> calls;
            while (to_store.pop_until(calls, clock_now() + 1h))
            {
                for (store::request& call : calls)
                {
                    store::reply reply = on_operation(platform_state, call.op);
                    reply.number = call.number;
                    call.deliver(std::move(reply));
                }
                calls.clear();
            }
        });
    ring<patch_result> delivered(1);
    std::vector<members::message> member_messages;
    to_members.pop_until(member_messages, clock_now() + 60s);
    CHECK(ready);
    messages.try_push(patch_request{
        0, std::string(first_patch), "", "me",
        [&](patch_result&& result) { delivered.try_push(std::move(result)); }});
    std::vector<patch_result> results;
    delivered.pop_until(results, clock_now() + 60s);
    messages.close();
    duty_thread.join();
    to_store.close();
    platform_thread.join();
    REQUIRE(results.size() == 1);
    CHECK(results[0].version == 1);
    std::vector<routing::message> routed;
    to_routing.pop_all(routed);
    REQUIRE(!routed.empty());
    CHECK(std::get<in_force>(routed.back()).current->version() == 1);
}
