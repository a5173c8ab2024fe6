#include <gooseberrycove/work.hpp>

namespace gooseberrycove
{

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
