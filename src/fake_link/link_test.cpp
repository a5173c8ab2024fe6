#include "fake_link/link.hpp"
#include <gooseberrycove/settings.hpp>

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::fake_link;

namespace
{

state make_link()
{
    return {parse_links("a=127.0.0.1:10>127.0.1.1:10 "
                        "b=127.0.0.1:11>127.0.1.2:11"),
            {}};
}

} // namespace

TEST_CASE("a cut blocks one direction only, until it is healed")
{
    // Guards against a stand-in that can block only both directions, so that
    // one-way partitions would stay untested.
    state link = make_link();
    CHECK(on_command(link, "cut a b") == "ok");
    CHECK(is_blocked(link, "a", "b"));
    CHECK_FALSE(is_blocked(link, "b", "a"));
    CHECK(on_command(link, "heal a b") == "ok");
    CHECK_FALSE(is_blocked(link, "a", "b"));
    on_command(link, "cut b a");
    CHECK(on_command(link, "heal_all") == "ok");
    CHECK_FALSE(is_blocked(link, "b", "a"));
}

TEST_CASE("senders are identified by the IP address that they bind")
{
    state const link = make_link();
    CHECK(sender_name(link, "127.0.1.2") == "b");
    CHECK(sender_name(link, "127.0.0.1").empty());
}

TEST_CASE("an invalid command or setting is refused, not ignored")
{
    // Guards against a fault schedule whose cuts have no effect.
    state link = make_link();
    CHECK(on_command(link, "cut a c") != "ok");
    CHECK(on_command(link, "cut a") != "ok");
    CHECK(on_command(link, "drop a b") != "ok");
    CHECK(link.blocked_directions.empty());
    CHECK_THROWS_AS(parse_links("a=127.0.0.1:10"), settings_error);
    CHECK_THROWS_AS(parse_links("a=127.0.0.1:10>here"), settings_error);
}
