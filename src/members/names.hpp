#ifndef GOOSEBERRYCOVE_MEMBERS_NAMES_HPP
#define GOOSEBERRYCOVE_MEMBERS_NAMES_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::members
{

inline constexpr std::uint32_t no_name = 0xFFFFFFFF;

/// Interned names in one block of text with one open-addressing index. Ids are
/// dense and start at 0.
class name_pool
{
public:
    /// Returns no_name when the name is not in the pool.
    std::uint32_t find(std::string_view name) const;

    std::uint32_t intern(std::string_view name);

    /// The view is valid until the next intern().
    std::string_view name(std::uint32_t id) const;

    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(m_ends.size());
    }

private:
    std::size_t position(std::string_view name) const;
    void grow();

    std::string m_text;
    std::vector<std::uint32_t> m_ends;
    /// Id + 1 per place; 0 is free. The size is a power of two.
    std::vector<std::uint32_t> m_index;
};

} // namespace gooseberrycove::members

#endif
