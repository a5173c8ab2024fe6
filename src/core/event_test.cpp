#include <gooseberrycove/event.hpp>
#include <gooseberrycove/settings.hpp>

#include <catch2/catch.hpp>

#include <sstream>

using namespace gooseberrycove;

TEST_CASE("docs/events.md lists exactly the events of the code")
{
    // Guards against events missing from the page, and against rows of events
    // that no longer exist.
    std::istringstream page(read_file(GCOVE_SOURCE_DIR "/docs/events.md"));
    std::vector<std::string> listed;
    for (std::string line; std::getline(page, line);)
    {
        std::string bar, number, name;
        std::istringstream cells(line);
        cells >> bar >> number >> bar >> name;
        if (number.size() == 5 && number.front() == 'E')
            listed.push_back(number + " " + name);
    }
    std::vector<std::string> in_code;
    for (event const id : all_events())
        in_code.push_back(event_tag(id));
    CHECK(listed == in_code);
}
