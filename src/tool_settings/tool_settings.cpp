#include "tool_settings/tool_settings.hpp"

#include "log/log_thread.hpp"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>
#include <sstream>
#include <string>

DEFINE_string(settings, "", "INI file with the settings");
DEFINE_string(set, "", "comma-separated section.key=value overrides");
DEFINE_bool(check_settings, false, "check the settings and exit");

namespace gooseberrycove::tool_settings
{

namespace
{

std::string usage_text(std::string_view usage, std::span<setting const> schema)
{
    std::ostringstream text;
    text << usage << "\n\nSettings:\n";
    for (setting const& entry : schema)
    {
        text << "  " << entry.section << '.' << entry.key << "  " << entry.help;
        if (entry.required)
            text << " (required)";
        else if (!entry.default_value.empty())
            text << " (default " << entry.default_value << ")";
        text << '\n';
    }
    return text.str();
}

} // namespace

settings read_settings(std::span<setting const> schema)
{
    settings_builder builder(schema);
    if (!FLAGS_settings.empty())
        builder.file(FLAGS_settings, read_file(FLAGS_settings));
    std::istringstream overrides(FLAGS_set);
    for (std::string assignment; std::getline(overrides, assignment, ',');)
        builder.override_value(assignment);
    return builder.build();
}

int run_with_settings(int argc, char** argv, std::string_view usage,
                      std::span<setting const> schema,
                      std::function<int(settings const&)> const& run,
                      std::function<void(settings const&)> const& check_values)
{
    gflags::SetUsageMessage(usage_text(usage, schema));
    gflags::SetVersionString(GCOVE_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    google::LogToStderr();
    try
    {
        if (argc > 1)
            throw settings_error(std::string("unexpected argument: ") +
                                 argv[1]);
        settings const values = read_settings(schema);
        if (check_values)
            check_values(values);
        if (FLAGS_check_settings)
            return 0;
        log::process_writer const writer;
        return run(values);
    }
    catch (settings_error const& failure)
    {
        std::cerr << failure.what() << '\n';
        return 2;
    }
    catch (std::exception const& failure)
    {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}

} // namespace gooseberrycove::tool_settings
