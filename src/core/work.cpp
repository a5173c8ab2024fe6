#include <gooseberrycove/work.hpp>

#include <algorithm>
#include <cmath>

namespace gooseberrycove
{

namespace
{

/// Time in which what is known of a server goes out of date: at the users'
/// sites faults last for 13 s on average and begin 30 s after the last one.
constexpr double fading_s = 1 / (1 / 13.0 + 1 / 30.0);

} // namespace

double decayed_failure_probability(double probability, duration passed)
{
    double const seconds =
        std::max(0.0, std::chrono::duration<double>(passed).count());
    return prior_failure_probability +
           (probability - prior_failure_probability) *
               std::exp(-seconds / fading_s);
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
