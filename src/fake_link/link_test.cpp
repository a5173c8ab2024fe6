#include "fake_link/link.hpp"
#include <gooseberrycove/settings.hpp>

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::fake_link;

namespace
{

state make()
{
    return {parse_links("a=127.0.0.1:10>127.0.1.1:10 "
                        "b=127.0.0.1:11>127.0.1.2:11"),
            {}};
}

} // namespace

TEST_CASE("a cut holds in one direction only, until it is healed")
{
    // Guards against a stand-in that tests two-way partitions only.
    state link = make();
    CHECK(on_command(link, "cut a b") == "ok");
    CHECK(is_cut(link, "a", "b"));
    CHECK_FALSE(is_cut(link, "b", "a"));
    CHECK(on_command(link, "heal a b") == "ok");
    CHECK_FALSE(is_cut(link, "a", "b"));
    on_command(link, "cut b a");
    CHECK(on_command(link, "heal_all") == "ok");
    CHECK_FALSE(is_cut(link, "b", "a"));
}

TEST_CASE("senders are known by the IP number that they bind")
{
    state const link = make();
    CHECK(sender_of(link, "127.0.1.2") == "b");
    CHECK(sender_of(link, "127.0.0.1").empty());
}

TEST_CASE("a mistyped command or setting is refused, not ignored")
{
    // Guards against a schedule whose cuts have no effect.
    state link = make();
    CHECK(on_command(link, "cut a c") != "ok");
    CHECK(on_command(link, "cut a") != "ok");
    CHECK(on_command(link, "drop a b") != "ok");
    CHECK(link.cuts.empty());
    CHECK_THROWS_AS(parse_links("a=127.0.0.1:10"), settings_error);
    CHECK_THROWS_AS(parse_links("a=127.0.0.1:10>here"), settings_error);
}
