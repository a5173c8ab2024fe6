#ifndef GOOSEBERRYCOVE_MEMBERS_NAME_POOL_HPP
#define GOOSEBERRYCOVE_MEMBERS_NAME_POOL_HPP

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
    std::uint32_t find(std::string_view text) const;

    /// Returns the id of the name, which is added when it is not in the pool.
    std::uint32_t intern(std::string_view text);

    /// The view is valid until the next intern().
    std::string_view name(std::uint32_t id) const;

    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(m_ends.size());
    }

private:
    std::size_t slot_of(std::string_view text) const;
    void grow();

    std::string m_text;
    std::vector<std::uint32_t> m_ends;
    /// Id + 1 per slot; 0 marks a free slot. The size is a power of two.
    std::vector<std::uint32_t> m_index;
};

} // namespace gooseberrycove::members

#endif
