#include <gooseberrycove/key_set.hpp>
#include <gooseberrycove/settings.hpp>

#include <fmt/format.h>
#include <openssl/crypto.h>

#include <sstream>

namespace gooseberrycove
{

namespace
{

/// A rotation needs two keys: the new one and the old one.
constexpr std::size_t max_keys = 2;

std::vector<std::string> read_keys(std::string_view path)
{
    // Daemons without a key file use the empty key.
    if (path.empty())
        return {std::string()};
    std::istringstream lines(read_file(path));
    std::vector<std::string> keys;
    for (std::string line; std::getline(lines, line);)
    {
        if (line.empty())
            continue;
        keys.push_back(line);
    }
    if (keys.empty() || keys.size() > max_keys)
        throw settings_error(
            fmt::format("{}: allowed: one or two keys, one per line", path));
    return keys;
}

} // namespace

key_set::key_set(std::string_view path) : m_path(path), m_keys(read_keys(path))
{
}

void key_set::reload()
{
    std::vector<std::string> keys = read_keys(m_path);
    std::lock_guard lock(m_mutex);
    m_keys = std::move(keys);
}

std::string key_set::current() const
{
    std::lock_guard lock(m_mutex);
    return m_keys.front();
}

std::vector<std::string> key_set::all() const
{
    std::lock_guard lock(m_mutex);
    return m_keys;
}

bool key_set::accepts(std::string_view key) const
{
    bool accepted = !has_file();
    for (std::string const& known : all())
        accepted = equal_in_constant_time(known, key) || accepted;
    return accepted;
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace gooseberrycove
