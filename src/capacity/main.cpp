#include "slope.hpp"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace gooseberrycove::capacity;
    gflags::SetUsageMessage(
        "measures the slopes of docs/CAPACITY.md in this process");
    gflags::SetVersionString(GCOVE_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    std::vector<slope> all;
    for (auto const measure : {config_slopes, members_slopes, wire_slopes,
                               decision_slopes, claims_slopes})
    {
        for (slope& item : measure())
            all.push_back(std::move(item));
    }
    print(all);
    return 0;
}
