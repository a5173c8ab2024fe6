#include "fake_link/relay.hpp"
#include "tool_settings/tool_settings.hpp"
#include <gooseberrycove/settings.hpp>

#include <array>

namespace
{

using namespace gooseberrycove;

std::array const schema{
    setting{"link", "control", setting_type::address, "", true, 0, 0,
            "ip:port that accepts commands, one per line", false},
    setting{"link", "links", setting_type::text, "", true, 0, 0,
            "name=advertised>bound of each daemon, separated by blanks",
            false}};

int run(settings const& values)
{
    fake_link::state link{fake_link::parse_links(values.text("link", "links")),
                          {}};
    fake_link::relay(link, values.text("link", "control"));
    return 0;
}

void check(settings const& values)
{
    fake_link::parse_links(values.text("link", "links"));
}

} // namespace

int main(int argc, char** argv)
{
    return tool_settings::run_with_settings(
        argc, argv, "Stand-in for the network between daemons.", schema, run,
        check);
}
