#include <gooseberrycove/work.hpp>

#include <algorithm>
#include <cmath>

namespace gooseberrycove
{

namespace
{

/// Share of time for which a server fails, and the time in which what is known
/// of it goes out of date: faults of 4.5 s, 30 s apart.
constexpr double usual_doubt = 0.13;
constexpr double fading_s = 1 / (1 / 4.5 + 1 / 30.0);

} // namespace

double faded_doubt(double probability, duration passed)
{
    double const seconds =
        std::max(0.0, std::chrono::duration<double>(passed).count());
    return usual_doubt +
           (probability - usual_doubt) * std::exp(-seconds / fading_s);
}

std::string_view to_string(health_state value)
{
    switch (value)
    {
    case health_state::healthy:
        return "healthy";
    case health_state::ejected:
        return "ejected";
    case health_state::probation:
        break;
    }
    return "probation";
}

} // namespace gooseberrycove
