#ifndef GOOSEBERRYCOVE_BENCH_SUMMARY_HPP
#define GOOSEBERRYCOVE_BENCH_SUMMARY_HPP

#include <string>
#include <vector>

namespace gooseberrycove::bench
{

struct distribution
{
    double mean = 0;
    double median = 0;
    double worst = 0;
};

/// All zero for no values.
distribution summarize(std::vector<double> values);

/// The value below which \p share of the values lie.
double quantile(std::vector<double>& values, double share);

/// Mean / median / worst with one decimal.
std::string text_of(distribution const& what);

} // namespace gooseberrycove::bench

#endif
