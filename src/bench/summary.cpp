#include "summary.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace gooseberrycove::bench
{

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    auto const index = std::min(
        values.size() - 1,
        static_cast<std::size_t>(share * static_cast<double>(values.size())));
    auto const place = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

distribution summarize(std::vector<double> values)
{
    if (values.empty())
        return {};
    double const sum = std::accumulate(values.begin(), values.end(), 0.0);
    return {sum / static_cast<double>(values.size()), quantile(values, 0.5),
            *std::max_element(values.begin(), values.end())};
}

std::string text_of(distribution const& what)
{
    return fmt::format("{:.1f} / {:.1f} / {:.1f}", what.mean, what.median,
                       what.worst);
}

} // namespace gooseberrycove::bench
