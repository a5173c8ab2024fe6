#include "choice.hpp"
#include "detection.hpp"
#include "flood.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(first_seed, 1, "seed of the first run");
DEFINE_uint32(seeds, 20, "runs of each case, with consecutive seeds");
DEFINE_double(healthy_minutes, 10,
              "simulated minutes per seed in the search for false ejections");
DEFINE_string(condition, "", "one condition of that search, or all");
DEFINE_uint64(flood_seconds, 40, "length of a measured flood");
DEFINE_string(only, "",
              "detection, false_ejections, choice, flood or empty for all");

int main(int argc, char** argv)
{
    using namespace gooseberrycove;
    gflags::SetUsageMessage("measures the policies on injected time");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto const wanted = [](std::string_view name)
    { return FLAGS_only.empty() || FLAGS_only == name; };
    bench::detection_options const detection{
        FLAGS_first_seed, FLAGS_seeds, FLAGS_healthy_minutes, FLAGS_condition};
    if (wanted("detection"))
        bench::run_detection(detection, std::cout);
    if (wanted("false_ejections"))
        bench::run_false_ejections(detection, std::cout);
    if (wanted("choice"))
        bench::run_choice({FLAGS_first_seed, FLAGS_seeds}, std::cout);
    if (!wanted("flood"))
        return 0;
    bench::flood_options flood;
    flood.first_seed = FLAGS_first_seed;
    flood.seeds = FLAGS_seeds;
    flood.length.flood = std::chrono::seconds(FLAGS_flood_seconds);
    bench::run_flood(std::cout, flood);
    return 0;
}
