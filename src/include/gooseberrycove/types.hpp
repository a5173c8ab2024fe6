#ifndef GOOSEBERRYCOVE_TYPES_HPP
#define GOOSEBERRYCOVE_TYPES_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrycove
{

/// Resolution of every timer and measured latency.
using duration = std::chrono::microseconds;

/// A point on this process's steady clock. Never sent to another process;
/// messages carry the remaining time instead.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Reads the steady clock. Called only by thread loops; functions that decide
/// have the present time as a parameter.
time_point clock_now();

/// 128-bit identifier of one caller request, unique across the fleet.
struct request_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(request_id const&) const = default;
};

/// Formats the id as 32 lower-case hexadecimal digits.
std::string to_string(request_id id);

/// Parses exactly 32 hexadecimal digits; returns nullopt for other text.
std::optional<request_id> parse_request_id(std::string_view text);

struct request_id_hash
{
    std::size_t operator()(request_id id) const noexcept
    {
        return static_cast<std::size_t>(id.low ^
                                        (id.high * 0x9E3779B97F4A7C15));
    }
};

/// One run of one daemon. The incarnation is larger after every start, which
/// distinguishes messages for an earlier run.
struct daemon_ref
{
    std::uint64_t id = 0;
    std::uint64_t incarnation = 0;

    auto operator<=>(daemon_ref const&) const = default;
};

/// Stable 64-bit hash of a name (xxHash64, seed 0).
std::uint64_t hash_name(std::string_view name);

/// Index into the configured priorities, which are ordered by rank; 0 is the
/// most urgent.
using priority_index = std::uint8_t;

/// Upper limit of configured priorities.
inline constexpr std::size_t max_priorities = 8;

} // namespace gooseberrycove

#endif
