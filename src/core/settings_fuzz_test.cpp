#include <gooseberrycove/settings.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <random>

using namespace gooseberrycove;

TEST_CASE("generated settings files are read or refused with a place")
{
    // Guards against a crash of the reader, and against a fault that names no
    // line of the file.
    std::array<setting, 2> const schema{
        setting{"daemon", "listen", setting_type::address, "", true, 0, 0, "",
                false},
        setting{"daemon", "size", setting_type::number, "5", false, 1, 10, "",
                false}};
    std::string const good = "[daemon]\nlisten = 127.0.0.1:80\nsize = 7\n";
    std::string const alphabet = "[]=;#\n\r\t :x09.\\\"\x80\xff";
    std::mt19937_64 generator(20261204);
    for (int round = 0; round < 20'000; ++round)
    {
        std::string text = good;
        for (std::uint64_t change = generator() % 5; change > 0; --change)
        {
            std::size_t const at = generator() % text.size();
            std::size_t const count =
                generator() % 10 == 0 ? 250 : generator() % 3 + 1;
            if (generator() % 3 == 0)
                text.erase(at, count);
            else
                text.insert(at, count, alphabet[generator() % alphabet.size()]);
            if (text.empty())
                text.push_back('\n');
        }
        try
        {
            settings const read =
                settings_builder(schema).file("a.ini", text).build();
            REQUIRE(is_address(read.text("daemon", "listen")));
            REQUIRE(read.number("daemon", "size") <= 10);
        }
        catch (settings_error const& fault)
        {
            REQUIRE(std::string(fault.what()).find("a.ini:") == 0);
        }
    }
}
