#include "daemon_settings.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace gooseberrycove;

TEST_CASE("docs/settings.md lists exactly the keys of the schema")
{
    // Guards against a key that operators cannot look up and against a default
    // or meaning that has changed in the code only.
    std::istringstream page(read_file(GCOVE_SOURCE_DIR "/docs/settings.md"));
    std::vector<std::string> listed;
    for (std::string line; std::getline(page, line);)
    {
        if (line.starts_with("| ") && !line.starts_with("| key"))
            listed.push_back(line);
    }
    REQUIRE(listed.size() == daemon_schema().size());
    std::size_t row = 0;
    for (setting const& item : daemon_schema())
    {
        std::string const& line = listed[row++];
        INFO(line);
        CHECK(line.starts_with("| " + item.key + " |"));
        CHECK(line.ends_with("| " + item.help + " |"));
        std::string const value =
            item.required ? "required" : item.default_value;
        CHECK(line.find("| " + value + " |") != line.npos);
    }
}

TEST_CASE("a daemon without its addresses is refused with every missing key")
{
    std::string faults;
    try
    {
        settings_builder(daemon_schema()).file("d.ini", "[daemon]\n").build();
    }
    catch (settings_error const& fault)
    {
        faults = fault.what();
    }
    for (char const* key :
         {"name", "data_centre", "listen", "admin", "peer", "platform"})
        CHECK(faults.find(std::string("daemon.") + key + ": required") !=
              faults.npos);
}
