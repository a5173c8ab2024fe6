#include "fake_platform/http.hpp"
#include <gooseberrycove/settings.hpp>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "settings file in INI form");
DEFINE_string(set, "", "overrides: section.key=value,section.key=value");
DEFINE_bool(check_settings, false, "check the settings, then exit");

namespace GFLAGS_NAMESPACE
{
// Called by the library for a wrong flag, with code 1. Not in its header.
extern void (*gflags_exitfunc)(int);
} // namespace GFLAGS_NAMESPACE

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

settings read_settings()
{
    settings_builder builder(schema);
    if (!FLAGS_settings.empty())
        builder.file(FLAGS_settings, read_file(FLAGS_settings));
    std::istringstream overrides(FLAGS_set);
    for (std::string item; std::getline(overrides, item, ',');)
        builder.override_value(item);
    return builder.build();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetVersionString("0.1.0");
    gflags::SetUsageMessage(
        "stand-in for the platform's table service and object store\n"
        "  gcove_platform --set=platform.listen=127.0.0.1:7000");
    GFLAGS_NAMESPACE::gflags_exitfunc = [](int) { std::exit(2); };
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    GFLAGS_NAMESPACE::gflags_exitfunc = &std::exit;
    gflags::HandleCommandLineHelpFlags();
    try
    {
        settings const values = read_settings();
        if (FLAGS_check_settings)
            return 0;
        fake_platform::state platform = fake_platform::make_state(
            values.real("platform", "reads_per_s"),
            values.real("platform", "writes_per_s"),
            values.number("platform", "seed"), clock_now());
        fake_platform::serve(platform, values.text("platform", "listen"));
        return 0;
    }
    catch (settings_error const& fault)
    {
        std::cerr << fault.what() << '\n';
        return 2;
    }
    catch (std::exception const& fault)
    {
        std::cerr << "gcove_platform: " << fault.what() << '\n';
        return 1;
    }
}
