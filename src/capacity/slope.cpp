#include "slope.hpp"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <iostream>

namespace gooseberrycove::capacity
{

namespace
{

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

double processor_now_us()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 +
           static_cast<double>(now.tv_nsec) / 1e3;
}

std::string points_text(slope const& item)
{
    std::string text;
    for (point const& one : item.points)
        text += fmt::format("{}{:.0f}: {:.4g}", text.empty() ? "" : ", ",
                            one.size, one.value);
    return text;
}

} // namespace

slope fit(std::string quantity, std::string unit, std::string per,
          std::vector<point> points)
{
    slope made{std::move(quantity), std::move(unit), std::move(per),
               std::move(points)};
    double const count = static_cast<double>(made.points.size());
    double sizes = 0;
    double values = 0;
    double squares = 0;
    double products = 0;
    for (point const& one : made.points)
    {
        sizes += one.size;
        values += one.value;
        squares += one.size * one.size;
        products += one.size * one.value;
    }
    double const spread = count * squares - sizes * sizes;
    made.each = spread > 0 ? (count * products - sizes * values) / spread : 0;
    made.fixed = count > 0 ? (values - made.each * sizes) / count : 0;
    return made;
}

slope constant(std::string quantity, std::string unit,
               std::vector<double> values)
{
    slope made;
    made.quantity = std::move(quantity);
    made.unit = std::move(unit);
    made.fixed = median(std::move(values));
    return made;
}

double heap_bytes()
{
    struct mallinfo2 const info = mallinfo2();
    return static_cast<double>(info.uordblks) +
           static_cast<double>(info.hblkhd);
}

double processor_us(int rounds, int calls, std::function<void(int)> const& call)
{
    std::vector<double> means;
    for (int round = 0; round < rounds; ++round)
    {
        double const begin = processor_now_us();
        for (int i = 0; i < calls; ++i)
            call(round * calls + i);
        means.push_back((processor_now_us() - begin) / calls);
    }
    return median(std::move(means));
}

void print(std::span<slope const> slopes)
{
    std::cout << "| quantity | unit | measured at (size: value) | slope | per "
                 "| fixed |\n|---|---|---|---|---|---|\n";
    for (slope const& item : slopes)
        std::cout << fmt::format("| {} | {} | {} | {:.4g} | {} | {:.4g} |\n",
                                 item.quantity, item.unit, points_text(item),
                                 item.each, item.per, item.fixed);
}

} // namespace gooseberrycove::capacity
