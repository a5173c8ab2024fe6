#include "choice.hpp"
#include "detection.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(first_seed, 1, "first seed");
DEFINE_uint32(seeds, 20, "number of seeds");
DEFINE_double(healthy_minutes, 10,
              "simulated minutes per seed in the search for false ejections");
DEFINE_string(condition, "", "one condition of the search, or all");
DEFINE_string(only, "", "detection, false_ejections, choice or empty for all");

int main(int argc, char** argv)
{
    using namespace gooseberrycove::bench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    detection_options const options{FLAGS_first_seed, FLAGS_seeds,
                                    FLAGS_healthy_minutes, FLAGS_condition};
    auto const wanted = [](std::string_view name)
    { return FLAGS_only.empty() || FLAGS_only == name; };
    if (wanted("detection"))
        run_detection(options, std::cout);
    if (wanted("false_ejections"))
        run_false_ejections(options, std::cout);
    if (wanted("choice"))
        run_choice({FLAGS_first_seed, FLAGS_seeds}, std::cout);
    return 0;
}
