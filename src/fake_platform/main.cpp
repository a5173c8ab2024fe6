#include "fake_platform/http.hpp"
#include "tool_settings/tool_settings.hpp"
#include <gooseberrycove/settings.hpp>

#include <vector>

namespace
{

using namespace gooseberrycove;

std::vector<setting> const schema{
    {"platform", "listen", setting_type::address, "", true, 0, 0,
     "ip:port of the HTTP interface"},
    {"platform", "reads_per_s", setting_type::real, "2000", false, 1, 1e9,
     "reads per second before 429"},
    {"platform", "writes_per_s", setting_type::real, "400", false, 1, 1e9,
     "writes per second before 429; a transaction is one write"},
    {"platform", "seed", setting_type::number, "1", false, 0, 4294967295.0,
     "seed for the choice of lost replies"}};

int serve(settings const& values)
{
    fake_platform::state platform = fake_platform::make_state(
        values.real("platform", "reads_per_s"),
        values.real("platform", "writes_per_s"),
        values.number("platform", "seed"), clock_now());
    fake_platform::serve(platform, values.text("platform", "listen"));
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return tool_settings::run_with_settings(
        argc, argv,
        "stand-in for the platform's table service and object store\n"
        "  gcove_platform --set=platform.listen=127.0.0.1:7000",
        schema, serve);
}
