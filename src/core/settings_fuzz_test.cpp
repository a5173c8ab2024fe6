#include <gooseberrycove/settings.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <random>

using namespace gooseberrycove;

TEST_CASE("generated settings files are parsed or refused with the file name")
{
    // Guards against a crash of the parser, and against an error message that
    // does not start with the file name.
    std::array<setting, 2> const schema{
        setting{"daemon", "listen", setting_type::address, "", true, 0, 0, "",
                false},
        setting{"daemon", "size", setting_type::number, "5", false, 1, 10, "",
                false}};
    std::string const valid = "[daemon]\nlisten = 127.0.0.1:80\nsize = 7\n";
    std::string const alphabet = "[]=;#\n\r\t :x09.\\\"\x80\xff";
    std::mt19937_64 generator(20261204);
    for (int iteration = 0; iteration < 20'000; ++iteration)
    {
        std::string text = valid;
        for (std::uint64_t changes = generator() % 5; changes > 0; --changes)
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
            settings const values =
                settings_builder(schema).file("a.ini", text).build();
            REQUIRE(is_address(values.text("daemon", "listen")));
            REQUIRE(values.number("daemon", "size") <= 10);
        }
        catch (settings_error const& failure)
        {
            REQUIRE(std::string(failure.what()).find("a.ini:") == 0);
        }
    }
}
