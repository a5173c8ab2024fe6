#include "config/document.hpp"
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

std::string stored_text(std::uint64_t version, int floor = 1)
{
    return fmt::format(R"({{"version":{},"document":{{
        "priorities":{{"p":{{"rank":0,"target_ms":50}}}},
        "services":{{"s":{{"floor_slots":{},"priorities":{{"p":{{}}}}}}}}}}}})",
                       version, floor);
}

/// A daemon that reads the operator's document from the store.
struct daemon_fixture
{
    state duty;
    time_point now{1h};
    actions out;

    daemon_fixture()
    {
        duty.own_address = "self";
        duty.follows_document = true;
    }

    /// Runs a tick and returns the call that is in progress after it.
    store::operation const& next_call()
    {
        on_tick(duty, now, out);
        REQUIRE(!out.calls.empty());
        return out.calls.back().op;
    }

    void reply(store::status result, std::uint64_t revision,
               std::string const& value = "")
    {
        store::reply response;
        response.number = out.calls.back().number;
        response.result = result;
        response.revision = revision;
        if (!value.empty())
            response.rows.push_back(
                {std::string(document_key), revision, value});
        out = {};
        on_store_reply(duty, response, now, out);
    }
};

} // namespace

TEST_CASE("the document is read once and then watched from its revision")
{
    daemon_fixture daemon;
    CHECK(std::holds_alternative<store::get_row>(daemon.next_call()));
    daemon.reply(store::status::ok, 12, stored_text(5));
    CHECK(daemon.duty.current->version() == 5);
    CHECK(daemon.duty.is_ready);
    auto const& watch = std::get<store::watch_row>(daemon.next_call());
    CHECK(watch.after == 12);
    daemon.reply(store::status::ok, 20, stored_text(9, 2));
    CHECK(daemon.duty.current->version() == 9);
    CHECK(daemon.duty.current->find_service("s")->floor_slots == 2);
}

TEST_CASE("an older or unreadable document does not replace the one in force")
{
    daemon_fixture daemon;
    daemon.next_call();
    daemon.reply(store::status::ok, 12, stored_text(5));
    for (std::string const& text :
         {stored_text(4, 7), std::string("{"), std::string(R"({"version":6})"),
          std::string(R"({"version":6,"document":7})"),
          std::string(R"({"version":6,"document":[{"routes":{}}]})")})
    {
        daemon.next_call();
        daemon.reply(store::status::ok, daemon.duty.document_revision + 1,
                     text);
        CHECK(daemon.duty.current->version() == 5);
        CHECK(daemon.duty.current->find_service("s")->floor_slots == 1);
    }
    // Each refused document is logged.
    CHECK(daemon.out.log.size() == 1);
}

TEST_CASE(
    "a daemon is ready with its peers' version when the store's is unusable")
{
    // Guards against daemons that never become ready after a restart because
    // the store holds a document that no daemon can use.
    daemon_fixture daemon;
    daemon.next_call();
    daemon.reply(store::status::ok, 12,
                 R"({"version":9,"document":["routes"]})");
    CHECK_FALSE(daemon.duty.is_ready);
    on_peer_version(daemon.duty, {"peer", 5}, daemon.now, daemon.out);
    REQUIRE(!daemon.out.sends.empty());
    CHECK(std::holds_alternative<pull>(daemon.out.sends.back().content));
    auto const earlier = parse_stored_document(stored_text(5));
    on_deltas(daemon.duty, {"peer", 5, earlier->text, {}}, daemon.now,
              daemon.out);
    CHECK(daemon.duty.current->version() == 5);
    CHECK(daemon.duty.is_ready);
}

TEST_CASE("what a version takes away is away whatever else it holds")
{
    // Guards against requests on removed routes: a version was refused whole
    // when it had no usable route and any entry with an error (review/7).
    for (char const* const document :
         {R"({"accounts":{"a":{"key_hashes":[]}}})", R"({"routes":{"r":{}}})",
          R"({"routes":7,"services":"s","accounts":[]})",
          R"({"routes":[{"path":"/*","method":"*"}]})",
          R"({"priorities":{"p":{}},"routes":{"r":{"service":"s",
              "method":"GET","path":"/r","priority":"p"}}})",
          R"({"unknown":{"x":{}}})", R"({"accounts":{"a b":{}}})", "{}"})
    {
        INFO(document);
        daemon_fixture daemon;
        daemon.next_call();
        daemon.reply(store::status::ok, 12, R"({"version":5,"document":{
            "priorities":{"p":{"rank":0,"target_ms":50}},
            "services":{"s":{"floor_slots":0,"priorities":{"p":{}}}},
            "routes":{"old":{"service":"s","method":"*","path":"/*",
                "priority":"p","repeatable":true,"timeout_ms":100}}}})");
        REQUIRE(daemon.duty.current->match("GET", "", "/x"));
        daemon.next_call();
        daemon.reply(store::status::ok, 13,
                     fmt::format(R"({{"version":6,"document":{}}})", document));
        tables const& current = *daemon.duty.current;
        CHECK(current.version() == 6);
        CHECK_FALSE(current.match("GET", "", "/x"));
        CHECK_FALSE(current.find_service("s"));
        // A peer that receives this version drops the same.
        daemon_fixture peer;
        on_deltas(peer.duty, {"self", 6, render_document(current.data()), {}},
                  peer.now, peer.out);
        CHECK(peer.duty.current->version() == 6);
    }
}

TEST_CASE("an entry that cannot be used does not affect the other entries")
{
    // Guards against a version that never takes effect, and daemons that never
    // become ready, because of one entry (review/3).
    daemon_fixture daemon;
    daemon.next_call();
    daemon.reply(store::status::ok, 12, R"({"version":6,"document":{
        "priorities":{"p":{"rank":0,"target_ms":50}},
        "services":{"s":{"floor_slots":0,"priorities":{"p":{}}},
                    "unusable":{"floor_slots":-1,"priorities":{"p":{}}}},
        "routes":{
            "good":{"service":"s","method":"*","path":"/*","priority":"p",
                "repeatable":true,"timeout_ms":100},
            "weight":{"split":{"s":-1},"method":"*","path":"/weight/*",
                "priority":"p","repeatable":true,"timeout_ms":100},
            "service":{"service":"unusable","method":"*","path":"/service/*",
                "priority":"p","repeatable":true,"timeout_ms":100},
            "pattern":{"service":"s","method":"*","path":"x","priority":"p",
                "repeatable":true,"timeout_ms":100}}}})");
    CHECK(daemon.duty.is_ready);
    tables const& current = *daemon.duty.current;
    REQUIRE(current.version() == 6);
    CHECK(current.match("GET", "", "/x")->service == "s");
    // Not those of "good", whose pattern matches them too.
    CHECK(current.match("GET", "", "/weight/x")->service.empty());
    CHECK(current.match("GET", "", "/service/x")->service.empty());
    CHECK(daemon.duty.entry_errors == 4);
    // A peer that receives this version uses the same routes.
    daemon_fixture peer;
    on_deltas(peer.duty, {"self", 6, render_document(current.data()), {}},
              peer.now, peer.out);
    REQUIRE(peer.duty.current->version() == 6);
    CHECK(peer.duty.current->match("GET", "", "/x")->service == "s");
    CHECK(peer.duty.current->match("GET", "", "/weight/x")->service.empty());
}

TEST_CASE("a daemon is not ready before the store holds a document")
{
    // Guards against responses with 404 for routes that exist: the first
    // document may be written after the daemons start.
    daemon_fixture daemon;
    daemon.next_call();
    daemon.reply(store::status::not_found, 3);
    CHECK_FALSE(daemon.duty.is_ready);
    CHECK(std::get<store::watch_row>(daemon.next_call()).after == 3);
    daemon.reply(store::status::ok, 4, stored_text(1));
    CHECK(daemon.duty.is_ready);
}

TEST_CASE(
    "the document is read again after lost history, and later after a failure")
{
    daemon_fixture daemon;
    daemon.next_call();
    daemon.reply(store::status::ok, 12, stored_text(5));
    daemon.next_call();
    daemon.reply(store::status::history_lost, 0);
    CHECK(std::holds_alternative<store::get_row>(daemon.next_call()));
    daemon.reply(store::status::refused, 0);
    on_tick(daemon.duty, daemon.now, daemon.out);
    CHECK(daemon.out.calls.empty());
    daemon.now += 1s;
    CHECK(std::holds_alternative<store::get_row>(daemon.next_call()));
    daemon.reply(store::status::ok, 30, stored_text(8));
    CHECK(daemon.duty.current->version() == 8);
}

TEST_CASE(
    "a daemon without new documents from the store applies a peer's version")
{
    daemon_fixture daemon;
    daemon.next_call();
    daemon.reply(store::status::ok, 12, stored_text(5));
    on_peer_version(daemon.duty, {"peer", 7}, daemon.now, daemon.out);
    REQUIRE(!daemon.out.sends.empty());
    CHECK(std::get<pull>(daemon.out.sends.back().content).after_version == 5);
    auto const newer = parse_stored_document(stored_text(7, 3));
    on_deltas(daemon.duty, {"peer", 7, newer->text, {}}, daemon.now,
              daemon.out);
    CHECK(daemon.duty.current->version() == 7);
    CHECK(daemon.duty.current->find_service("s")->floor_slots == 3);
}

TEST_CASE("the document is read soon after a peer reports a newer version")
{
    // Guards against a new route that is missing while the watch is
    // unresponsive after a partition: the call times out only after 27 s, and a
    // busy peer replies to one pull a second.
    daemon_fixture daemon;
    daemon.next_call();
    daemon.reply(store::status::ok, 12, stored_text(5));
    std::uint64_t const unresponsive =
        (daemon.next_call(), daemon.out.calls.back().number);
    daemon.out = {};
    on_peer_version(daemon.duty, {"peer", 7}, daemon.now, daemon.out);
    daemon.now += 100ms;
    on_tick(daemon.duty, daemon.now, daemon.out);
    CHECK(daemon.out.calls.empty());
    daemon.now += 150ms;
    CHECK(std::holds_alternative<store::get_row>(daemon.next_call()));
    // One read at a time, and not one for each report of a peer.
    on_peer_version(daemon.duty, {"other", 7}, daemon.now, daemon.out);
    daemon.reply(store::status::refused, 0);
    daemon.now += 300ms;
    on_tick(daemon.duty, daemon.now, daemon.out);
    CHECK(daemon.out.calls.empty());
    daemon.now += 2s;
    CHECK(std::holds_alternative<store::get_row>(daemon.next_call()));
    daemon.reply(store::status::ok, 20, stored_text(7));
    CHECK(daemon.duty.current->version() == 7);
    // The unresponsive watch is replaced, and its late reply is dropped.
    CHECK(std::get<store::watch_row>(daemon.next_call()).after == 20);
    store::reply late_reply;
    late_reply.number = unresponsive;
    late_reply.result = store::status::history_lost;
    on_store_reply(daemon.duty, late_reply, daemon.now, daemon.out);
    CHECK(daemon.duty.document_revision == 20);
}

TEST_CASE("a version is current while the store or a peer confirms it")
{
    // Guards against a 401 from a daemon that may have missed a new key.
    daemon_fixture daemon;
    daemon.next_call();
    daemon.reply(store::status::ok, 12, stored_text(5));
    CHECK(is_current(daemon.duty, daemon.now));
    on_peer_version(daemon.duty, {"peer", 6}, daemon.now, daemon.out);
    CHECK_FALSE(is_current(daemon.duty, daemon.now));
    daemon.next_call();
    daemon.reply(store::status::ok, 13, stored_text(6));
    CHECK(is_current(daemon.duty, daemon.now));
    daemon.next_call();
    daemon.reply(store::status::unknown, 0);
    CHECK_FALSE(is_current(daemon.duty, daemon.now));
    on_peer_version(daemon.duty, {"peer", 6}, daemon.now, daemon.out);
    CHECK(is_current(daemon.duty, daemon.now + 4s));
    CHECK_FALSE(is_current(daemon.duty, daemon.now + 6s));
}

TEST_CASE("the log tells what was read of a document and what is in force")
{
    // Guards against a request that ran without an account for a reason that no
    // log line tells: the document lacked the accounts, they were not read, or
    // an older version is in force.
    daemon_fixture daemon;
    daemon.next_call();
    daemon.reply(store::status::ok, 12, R"({"version":5,
        "source":{"members":"accounts:table:1","left_out":0,"no_text":[1]},
        "document":{
            "priorities":{"p":{"rank":0,"target_ms":50}},
            "services":{"s":{"floor_slots":0,"priorities":{"p":{}}}},
            "accounts":{"a":{"key_hashes":["00112233445566778899aabbccddeeff"]}},
            "routes":{
                "open":{"service":"s","method":"*","path":"/o*",
                    "priority":"p","repeatable":true,"timeout_ms":100,"open":true},
                "closed":{"service":"s","method":"*","path":"/c*",
                    "priority":"p","repeatable":true,"timeout_ms":100},
                "unusable":{"method":"*","path":"/u*"}}}})");
    REQUIRE(daemon.out.log.size() >= 2);
    CHECK(daemon.out.log.front().line.text() ==
          "E0706 config_document_read version=5 in_force=0 revision=12 "
          "left_out=0 members=accounts:table:1");
    CHECK(daemon.out.log.back().line.text() ==
          "E0700 config_in_force version=5 services=1 routes=3 open_routes=1 "
          "refusing_routes=1 accounts=1 entry_errors=" +
              std::to_string(daemon.duty.entry_errors));
    // A document that is not put in force is told apart from an unread one.
    daemon.next_call();
    daemon.reply(store::status::ok, 13, stored_text(4));
    REQUIRE(daemon.out.log.size() == 1);
    CHECK(daemon.out.log[0].line.text() ==
          "E0706 config_document_read version=4 in_force=5 revision=13");
    CHECK(daemon.duty.current->version() == 5);
}
