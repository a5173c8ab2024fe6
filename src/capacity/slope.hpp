#ifndef GOOSEBERRYCOVE_CAPACITY_SLOPE_HPP
#define GOOSEBERRYCOVE_CAPACITY_SLOPE_HPP

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace gooseberrycove::capacity
{

/// One measurement of a quantity at one size.
struct point
{
    double size = 0;
    double value = 0;
};

/// A quantity measured at several sizes, with its least-squares line.
struct slope
{
    std::string quantity;
    /// Unit of the value.
    std::string unit;
    /// What the size counts.
    std::string per;
    std::vector<point> points;
    double each = 0;
    double fixed = 0;
};

/// Fits value = fixed + each * size.
slope fit(std::string quantity, std::string unit, std::string per,
          std::vector<point> points);

/// A quantity that does not grow with a size: the median of the values.
slope constant(std::string quantity, std::string unit,
               std::vector<double> values);

/// Bytes that the heap of this process holds.
double heap_bytes();

/// Processor microseconds of one call, the median over \p rounds of the mean
/// of \p calls.
double processor_us(int rounds, int calls,
                    std::function<void(int)> const& call);

/// Prints a Markdown table.
void print(std::span<slope const> slopes);

std::vector<slope> config_slopes();
std::vector<slope> members_slopes();
std::vector<slope> wire_slopes();
std::vector<slope> decision_slopes();
std::vector<slope> claims_slopes();

} // namespace gooseberrycove::capacity

#endif
