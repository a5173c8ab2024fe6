#include "members/names.hpp"

#include <gooseberrycove/types.hpp>

namespace gooseberrycove::members
{

std::string_view name_pool::name(std::uint32_t id) const
{
    std::uint32_t const begin = id == 0 ? 0 : m_ends[id - 1];
    return std::string_view(m_text).substr(begin, m_ends[id] - begin);
}

std::size_t name_pool::position(std::string_view wanted) const
{
    std::size_t const mask = m_index.size() - 1;
    std::size_t at = hash_name(wanted) & mask;
    while (m_index[at] != 0 && name(m_index[at] - 1) != wanted)
        at = (at + 1) & mask;
    return at;
}

std::uint32_t name_pool::find(std::string_view wanted) const
{
    if (m_index.empty())
        return no_name;
    std::uint32_t const found = m_index[position(wanted)];
    return found == 0 ? no_name : found - 1;
}

std::uint32_t name_pool::intern(std::string_view wanted)
{
    if (m_index.size() < 2 * (m_ends.size() + 1))
        grow();
    std::size_t const at = position(wanted);
    if (m_index[at] != 0)
        return m_index[at] - 1;
    m_text.append(wanted);
    m_ends.push_back(static_cast<std::uint32_t>(m_text.size()));
    m_index[at] = size();
    return size() - 1;
}

void name_pool::grow()
{
    m_index.assign(m_index.empty() ? 64 : 2 * m_index.size(), 0);
    for (std::uint32_t id = 0; id < size(); ++id)
        m_index[position(name(id))] = id + 1;
}

} // namespace gooseberrycove::members
