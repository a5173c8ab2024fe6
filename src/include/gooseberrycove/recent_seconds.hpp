#ifndef GOOSEBERRYCOVE_RECENT_SECONDS_HPP
#define GOOSEBERRYCOVE_RECENT_SECONDS_HPP

#include <gooseberrycove/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace gooseberrycove
{

/// Counts of the last seconds, in one slice per second.
/// \tparam Counts  a struct of numbers with operator+=, zero by default
/// \tparam Slices  seconds that are summed, the present one included. A sum
///                 covers between Slices - 1 and Slices seconds.
template <class Counts, std::size_t Slices = 10>
class recent_seconds
{
public:
    /// Counts of the second that contains \p now.
    Counts& at(time_point now)
    {
        std::int64_t const second = second_of(now);
        slice& found =
            m_slices[static_cast<std::size_t>(second) % m_slices.size()];
        if (found.second != second)
            found = {second, {}};
        return found.counts;
    }

    /// Sum of all slices, up to the second that contains \p now.
    Counts sum(time_point now) const
    {
        std::int64_t const last = second_of(now);
        std::int64_t const oldest =
            last - static_cast<std::int64_t>(m_slices.size());
        Counts total;
        for (slice const& one : m_slices)
        {
            if (one.second <= oldest || one.second > last)
                continue;
            total += one.counts;
        }
        return total;
    }

private:
    struct slice
    {
        std::int64_t second = -1;
        Counts counts;
    };

    static std::int64_t second_of(time_point now)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(
                   now.time_since_epoch())
            .count();
    }

    std::array<slice, Slices> m_slices{};
};

} // namespace gooseberrycove

#endif
