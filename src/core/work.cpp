#include <gooseberrycove/work.hpp>

#include <algorithm>
#include <cmath>

namespace gooseberrycove
{

namespace
{

/// Time constant in seconds with which evidence about a server expires. At the
/// users' sites a fault lasts 13 s on average and the next one begins 30 s
/// after its end.
constexpr double decay_time_s = 1 / (1 / 13.0 + 1 / 30.0);

} // namespace

double decayed_failure_probability(double probability, duration elapsed)
{
    double const seconds =
        std::max(0.0, std::chrono::duration<double>(elapsed).count());
    return prior_failure_probability +
           (probability - prior_failure_probability) *
               std::exp(-seconds / decay_time_s);
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
