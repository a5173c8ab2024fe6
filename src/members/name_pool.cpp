#include "members/name_pool.hpp"

#include <gooseberrycove/types.hpp>

namespace gooseberrycove::members
{

std::string_view name_pool::name(std::uint32_t id) const
{
    std::uint32_t const begin = id == 0 ? 0 : m_ends[id - 1];
    return std::string_view(m_text).substr(begin, m_ends[id] - begin);
}

std::size_t name_pool::slot_of(std::string_view text) const
{
    std::size_t const mask = m_index.size() - 1;
    std::size_t slot = hash_name(text) & mask;
    while (m_index[slot] != 0 && name(m_index[slot] - 1) != text)
        slot = (slot + 1) & mask;
    return slot;
}

std::uint32_t name_pool::find(std::string_view text) const
{
    if (m_index.empty())
        return no_name;
    std::uint32_t const id_plus_one = m_index[slot_of(text)];
    return id_plus_one == 0 ? no_name : id_plus_one - 1;
}

std::uint32_t name_pool::intern(std::string_view text)
{
    if (m_index.size() < 2 * (m_ends.size() + 1))
        grow();
    std::size_t const slot = slot_of(text);
    if (m_index[slot] != 0)
        return m_index[slot] - 1;
    m_text.append(text);
    m_ends.push_back(static_cast<std::uint32_t>(m_text.size()));
    m_index[slot] = size();
    return size() - 1;
}

void name_pool::grow()
{
    m_index.assign(m_index.empty() ? 64 : 2 * m_index.size(), 0);
    for (std::uint32_t id = 0; id < size(); ++id)
        m_index[slot_of(name(id))] = id + 1;
}

} // namespace gooseberrycove::members
