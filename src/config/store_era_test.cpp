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

std::string stored_text(std::uint64_t version)
{
    return fmt::format(R"({{"version":{},"document":{{
        "priorities":{{"p":{{"rank":0,"target_ms":50}}}},
        "services":{{"s":{{"floor_slots":1,"priorities":{{"p":{{}}}}}}}}}}}})",
                       version);
}

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

    store::request const& next_call()
    {
        out = {};
        now += 50ms;
        on_tick(duty, now, out);
        REQUIRE(out.calls.size() == 1);
        return out.calls.back();
    }

    void reply(std::uint64_t number, std::uint64_t era, std::uint64_t revision,
               std::uint64_t version)
    {
        store::reply response;
        response.number = number;
        response.result = store::status::ok;
        response.revision = revision;
        response.era = era;
        response.rows.push_back(
            {std::string(document_key), revision, stored_text(version)});
        on_store_reply(duty, response, now, out);
    }
};

} // namespace

TEST_CASE("a watch across a restore of the store is replaced by a read")
{
    // Guards against a change that no watch returns, because the restored
    // store assigned again the revision from which the daemon watched.
    daemon_fixture daemon;
    daemon.reply(daemon.next_call().number, 1, 100, 5);
    store::request const watch = daemon.next_call();
    CHECK(std::get<store::watch_row>(watch.op).after == 100);
    // Its own reply tells the new era; its rows may lack a change.
    daemon.reply(watch.number, 2, 101, 6);
    CHECK(daemon.duty.current->version() == 5);
    store::request const read = daemon.next_call();
    REQUIRE(std::holds_alternative<store::get_row>(read.op));
    daemon.reply(read.number, 2, 97, 7);
    CHECK(daemon.duty.current->version() == 7);
    CHECK(std::get<store::watch_row>(daemon.next_call().op).after == 97);
}

TEST_CASE("the version in force stays when the restored store has an older one")
{
    daemon_fixture daemon;
    daemon.reply(daemon.next_call().number, 1, 100, 5);
    store::request const watch = daemon.next_call();
    daemon.reply(watch.number, 2, 90, 4);
    store::request const read = daemon.next_call();
    daemon.reply(read.number, 2, 90, 4);
    CHECK(daemon.duty.current->version() == 5);
    CHECK(is_current(daemon.duty, daemon.now));
    store::request const next_watch = daemon.next_call();
    // A reply of the earlier era that arrives late changes nothing.
    daemon.reply(next_watch.number, 1, 120, 8);
    CHECK(daemon.duty.current->version() == 5);
    CHECK(daemon.duty.document_revision == 90);
}

TEST_CASE("watches of a store with eras end at different times")
{
    // Guards against a fleet whose watches all span a restore and all return
    // no change for 25 s.
    daemon_fixture daemon;
    daemon.reply(daemon.next_call().number, 1, 100, 5);
    duration shortest = document_watch_time;
    for (std::uint64_t revision = 101; revision < 120; ++revision)
    {
        store::request const watch = daemon.next_call();
        shortest =
            std::min(shortest, std::get<store::watch_row>(watch.op).wait);
        daemon.reply(watch.number, 1, revision, revision);
    }
    CHECK(shortest < 8s);
}
