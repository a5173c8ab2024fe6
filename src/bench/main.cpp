#include "flood.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seeds, 20, "runs of each case, with consecutive seeds");
DEFINE_uint64(first_seed, 1, "seed of the first run");
DEFINE_uint64(flood_seconds, 40, "length of a measured flood");

int main(int argc, char** argv)
{
    using namespace gooseberrycove;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bench::flood_options options;
    options.first_seed = FLAGS_first_seed;
    options.seeds = FLAGS_seeds;
    options.length.flood = std::chrono::seconds(FLAGS_flood_seconds);
    // bench::run_detection of detection.hpp is called here.
    bench::run_flood(std::cout, options);
    return 0;
}
