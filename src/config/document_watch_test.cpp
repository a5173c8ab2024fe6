#include "config/document_watch.hpp"
#include "config/records.hpp"
#include "config/versions.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace gooseberrycove;
using namespace gooseberrycove::config;
using namespace std::chrono_literals;

namespace
{

std::string stored(std::uint64_t version, int floor = 1)
{
    return fmt::format(R"({{"version":{},"document":{{
        "priorities":{{"p":{{"rank":0,"target_ms":50}}}},
        "services":{{"s":{{"floor_slots":{},"priorities":{{"p":{{}}}}}}}}}}}})",
                       version, floor);
}

/// A daemon that follows the operator's document.
struct follower
{
    state duty;
    time_point now{1h};
    actions out;

    follower()
    {
        duty.own_address = "self";
        duty.follows_document = true;
    }

    /// The call that is under way after a tick.
    store::operation const& asked()
    {
        on_tick(duty, now, out);
        REQUIRE(!out.calls.empty());
        return out.calls.back().op;
    }

    void answer(store::status result, std::uint64_t revision,
                std::string const& value = "")
    {
        store::reply got;
        got.number = out.calls.back().number;
        got.result = result;
        got.revision = revision;
        if (!value.empty())
            got.rows.push_back({std::string(document_key), revision, value});
        out = {};
        on_store_reply(duty, got, now, out);
    }
};

} // namespace

TEST_CASE("the document is read once and then watched from its revision")
{
    follower f;
    CHECK(std::holds_alternative<store::get_row>(f.asked()));
    f.answer(store::status::ok, 12, stored(5));
    CHECK(f.duty.current->version() == 5);
    CHECK(f.duty.ready);
    auto const& watch = std::get<store::watch_row>(f.asked());
    CHECK(watch.after == 12);
    f.answer(store::status::ok, 20, stored(9, 2));
    CHECK(f.duty.current->version() == 9);
    CHECK(f.duty.current->find_service("s")->floor_slots == 2);
}

TEST_CASE(
    "a version never goes back, and an unreadable document changes nothing")
{
    follower f;
    f.asked();
    f.answer(store::status::ok, 12, stored(5));
    for (std::string const& text :
         {stored(4, 7), std::string("{"), std::string(R"({"version":6})"),
          std::string(R"({"version":6,"document":{"routes":{"r":{}}}})")})
    {
        f.asked();
        f.answer(store::status::ok, f.duty.document_revision + 1, text);
        CHECK(f.duty.current->version() == 5);
        CHECK(f.duty.current->find_service("s")->floor_slots == 1);
    }
    // Each refused document is logged.
    CHECK(f.out.log.size() == 1);
}

TEST_CASE("a daemon without any document is not ready")
{
    // Guards against 404 for routes that exist: the first document may be
    // written after the daemons start.
    follower f;
    f.asked();
    f.answer(store::status::not_found, 3);
    CHECK_FALSE(f.duty.ready);
    CHECK(std::get<store::watch_row>(f.asked()).after == 3);
    f.answer(store::status::ok, 4, stored(1));
    CHECK(f.duty.ready);
}

TEST_CASE("after lost history the document is read anew, and failures wait")
{
    follower f;
    f.asked();
    f.answer(store::status::ok, 12, stored(5));
    f.asked();
    f.answer(store::status::history_lost, 0);
    CHECK(std::holds_alternative<store::get_row>(f.asked()));
    f.answer(store::status::refused, 0);
    on_tick(f.duty, f.now, f.out);
    CHECK(f.out.calls.empty());
    f.now += 1s;
    CHECK(std::holds_alternative<store::get_row>(f.asked()));
    f.answer(store::status::ok, 30, stored(8));
    CHECK(f.duty.current->version() == 8);
}

TEST_CASE("a daemon that the store does not reach takes a peer's version")
{
    follower f;
    f.asked();
    f.answer(store::status::ok, 12, stored(5));
    on_peer_version(f.duty, {"peer", 7}, f.now, f.out);
    REQUIRE(!f.out.sends.empty());
    CHECK(std::get<pull>(f.out.sends.back().content).after_version == 5);
    auto const newer = parse_stored_document(stored(7, 3));
    on_deltas(f.duty, {"peer", 7, newer->text, {}}, f.now, f.out);
    CHECK(f.duty.current->version() == 7);
    CHECK(f.duty.current->find_service("s")->floor_slots == 3);
}

TEST_CASE("the document is read at once when a peer tells a newer version")
{
    // Guards against a route that stays unknown while the watch is silent
    // after a partition: its call is only given up after 27 s, and a busy peer
    // answers one pull a second.
    follower f;
    f.asked();
    f.answer(store::status::ok, 12, stored(5));
    std::uint64_t const silent = (f.asked(), f.out.calls.back().number);
    f.out = {};
    on_peer_version(f.duty, {"peer", 7}, f.now, f.out);
    f.now += 100ms;
    on_tick(f.duty, f.now, f.out);
    CHECK(f.out.calls.empty());
    f.now += 150ms;
    CHECK(std::holds_alternative<store::get_row>(f.asked()));
    // One read at a time, and not one for each packet of a peer.
    on_peer_version(f.duty, {"other", 7}, f.now, f.out);
    f.answer(store::status::refused, 0);
    f.now += 300ms;
    on_tick(f.duty, f.now, f.out);
    CHECK(f.out.calls.empty());
    f.now += 2s;
    CHECK(std::holds_alternative<store::get_row>(f.asked()));
    f.answer(store::status::ok, 20, stored(7));
    CHECK(f.duty.current->version() == 7);
    // The silent watch is replaced, and what it brings late is dropped.
    CHECK(std::get<store::watch_row>(f.asked()).after == 20);
    store::reply late;
    late.number = silent;
    late.result = store::status::history_lost;
    on_store_reply(f.duty, late, f.now, f.out);
    CHECK(f.duty.document_revision == 20);
}
