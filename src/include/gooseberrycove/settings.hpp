#ifndef GOOSEBERRYCOVE_SETTINGS_HPP
#define GOOSEBERRYCOVE_SETTINGS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove
{

/// Thrown for an invalid settings file. what() has one line per error, each
/// with the file, line, key and allowed values.
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

enum class setting_type
{
    text,
    number,   ///< unsigned integer within minimum..maximum
    real,     ///< floating point within minimum..maximum
    boolean,  ///< true or false
    address,  ///< ip:port
    addresses ///< ip:port values separated by blanks; may be empty
};

/// Declares one key of a settings file.
struct setting
{
    std::string section;
    std::string key;
    setting_type type = setting_type::text;
    /// Used when the key is absent and not required.
    std::string default_value;
    bool required = false;
    double minimum = 0;
    double maximum = 4294967295.0;
    /// Unit and meaning, for --help and the settings reference.
    std::string help;
    /// Whether SIGHUP applies a new value.
    bool is_reloadable = false;
};

/// Checked values of one INI file. Values exist for every declared key.
class settings
{
public:
    std::string const& text(std::string_view section,
                            std::string_view key) const;
    std::uint64_t number(std::string_view section, std::string_view key) const;
    double real(std::string_view section, std::string_view key) const;
    bool boolean(std::string_view section, std::string_view key) const;
    std::vector<std::string> addresses(std::string_view section,
                                       std::string_view key) const;

private:
    friend class settings_builder;
    std::map<std::string, std::string, std::less<>> m_values;
};

/// Builds settings from a file and overrides and reports all errors at once.
class settings_builder
{
public:
    explicit settings_builder(std::span<setting const> schema);

    /// \param name  name of the file in error messages
    settings_builder& file(std::string_view name, std::string_view content);

    /// Overrides one value with `section.key=value` from a command-line flag.
    settings_builder& override_value(std::string_view assignment);

    /// \throws settings_error with all errors
    settings build() const;

private:
    std::vector<setting> m_schema;
    std::string m_name = "settings";
    std::string m_content;
    std::vector<std::string> m_overrides;
};

/// Reads a whole file. \throws settings_error when it cannot be read
std::string read_file(std::string_view path);

/// Whether \p text is `ip:port` with a numeric IPv4 address or a bracketed
/// IPv6 address, and a port from 1 to 65535.
bool is_address(std::string_view text);

/// Splits `ip:port`. \throws settings_error for other text
std::pair<std::string, std::uint16_t> split_address(std::string_view text);

} // namespace gooseberrycove

#endif
