#ifndef GOOSEBERRYCOVE_STATUS_HPP
#define GOOSEBERRYCOVE_STATUS_HPP

namespace gooseberrycove
{

/// Whether \p status may be that of a final HTTP response.
constexpr bool is_final_status(int status)
{
    return status >= 200 && status <= 599;
}

} // namespace gooseberrycove

#endif
