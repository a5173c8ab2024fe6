#ifndef GOOSEBERRYCOVE_KEY_SET_HPP
#define GOOSEBERRYCOVE_KEY_SET_HPP

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove
{

/// Shared keys read from a file, one per line. The first key signs and all are
/// accepted, so that a key can be rotated without refused messages.
class key_set
{
public:
    /// An empty path means no key and accepts every key, for a daemon that is
    /// reachable only from its own VM or fleet.
    /// \throws settings_error when the file cannot be read, or holds no key or
    ///     more than two keys
    explicit key_set(std::string_view path);

    /// Reads the file again; keeps the current keys when that fails.
    /// \throws settings_error as the constructor
    void reload();

    bool has_file() const { return !m_path.empty(); }

    std::string current() const;
    std::vector<std::string> all() const;

    /// Compares with every key in time that depends only on the sizes.
    bool accepts(std::string_view key) const;

private:
    std::string m_path;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_keys;
};

/// Compares in time that depends only on the sizes.
bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace gooseberrycove

#endif
