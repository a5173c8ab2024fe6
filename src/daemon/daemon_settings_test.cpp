#include "daemon_settings.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace gooseberrycove;

TEST_CASE("docs/settings.md lists exactly the keys of the schema")
{
    // Guards against an undocumented key and against a default or meaning that
    // has changed only in the code.
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

TEST_CASE(
    "settings without the required keys are refused with every missing key")
{
    std::string errors;
    try
    {
        settings_builder(daemon_schema()).file("d.ini", "[daemon]\n").build();
    }
    catch (settings_error const& failure)
    {
        errors = failure.what();
    }
    for (char const* key :
         {"name", "data_centre", "listen", "admin", "peer", "platform"})
        CHECK(errors.find(std::string("daemon.") + key + ": required") !=
              errors.npos);
}
