#include <gooseberrycove/settings.hpp>

#include <asio/ip/address.hpp>
#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace gooseberrycove
{

namespace
{

std::string full_key(std::string_view section, std::string_view key)
{
    return fmt::format("{}.{}", section, key);
}

std::vector<std::string> split_blanks(std::string_view text)
{
    std::istringstream in{std::string(text)};
    std::vector<std::string> parts;
    for (std::string part; in >> part;)
        parts.push_back(part);
    return parts;
}

template <class Number>
bool parse_number(std::string_view text, Number& value)
{
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

/// Returns the allowed values when \p value is invalid, else an empty string.
std::string check_value(setting const& declared, std::string_view value)
{
    std::uint64_t number = 0;
    double real = 0;
    switch (declared.type)
    {
    case setting_type::text:
        if (declared.required && value.empty())
            return "a non-empty text";
        return {};
    case setting_type::number:
        if (parse_number(value, number) &&
            static_cast<double>(number) >= declared.minimum &&
            static_cast<double>(number) <= declared.maximum)
            return {};
        return fmt::format("an integer from {:.0f} to {:.0f}", declared.minimum,
                           declared.maximum);
    case setting_type::real:
        if (parse_number(value, real) && real >= declared.minimum &&
            real <= declared.maximum)
            return {};
        return fmt::format("a number from {} to {}", declared.minimum,
                           declared.maximum);
    case setting_type::boolean:
        if (value == "true" || value == "false")
            return {};
        return "true or false";
    case setting_type::address:
        if (is_address(value) || (value.empty() && !declared.required))
            return {};
        return "ip:port";
    case setting_type::addresses:
        for (std::string const& part : split_blanks(value))
        {
            if (!is_address(part))
                return "ip:port values separated by blanks";
        }
        return {};
    }
    return {};
}

struct assignment
{
    std::string section;
    std::string key;
    std::string value;
    std::string location;
};

struct parse_context
{
    std::string_view name;
    std::string_view rest;
    int line = 0;
    /// The line just passed to the library continues the value before it.
    bool is_continuation = false;
    std::vector<assignment> assignments;
};

/// Length of the first part of \p line that is passed to the library: the whole
/// line, or up to the last blank within the limit.
std::size_t part_length(std::string_view line, std::size_t limit)
{
    if (line.size() <= limit)
        return line.size();
    auto const blank = line.substr(0, limit).find_last_of(" \t");
    return blank == line.npos || blank == 0 ? limit : blank;
}

/// Line reader for ini_parse_stream(). Counts lines, because the packaged
/// library calls its handler without the line number. The library reads at most
/// 199 characters of a line. A longer line is split before a blank, because the
/// library treats a line that starts with a blank as a continuation of the
/// value.
char* read_line(char* buffer, int size, void* stream)
{
    auto& context = *static_cast<parse_context*>(stream);
    if (context.rest.empty())
        return nullptr;
    auto const end =
        std::min(context.rest.find('\n'), context.rest.size() - 1) + 1;
    std::size_t const length = part_length(context.rest.substr(0, end),
                                           static_cast<std::size_t>(size - 1));
    context.rest.copy(buffer, length);
    buffer[length] = '\0';
    bool const at_start = context.line == 0 || context.rest.data()[-1] == '\n';
    context.line += at_start ? 1 : 0;
    context.is_continuation = buffer[0] == ' ' || buffer[0] == '\t';
    context.rest.remove_prefix(length);
    return buffer;
}

int collect_assignment(void* user, char const* section, char const* name,
                       char const* value)
{
    auto& context = *static_cast<parse_context*>(user);
    std::string const text = value ? value : "";
    if (context.is_continuation && !context.assignments.empty() &&
        context.assignments.back().section == section &&
        context.assignments.back().key == name)
    {
        context.assignments.back().value += ' ' + text;
        return 1;
    }
    context.assignments.push_back(
        {section, name, text,
         fmt::format("{}:{}", context.name, context.line)});
    return 1;
}

} // namespace

std::string const& settings::text(std::string_view section,
                                  std::string_view key) const
{
    auto const found = m_values.find(full_key(section, key));
    if (found == m_values.end())
        throw settings_error(
            fmt::format("undeclared setting {}", full_key(section, key)));
    return found->second;
}

std::uint64_t settings::number(std::string_view section,
                               std::string_view key) const
{
    std::uint64_t value = 0;
    parse_number(std::string_view(text(section, key)), value);
    return value;
}

double settings::real(std::string_view section, std::string_view key) const
{
    double value = 0;
    parse_number(std::string_view(text(section, key)), value);
    return value;
}

bool settings::boolean(std::string_view section, std::string_view key) const
{
    return text(section, key) == "true";
}

std::vector<std::string> settings::addresses(std::string_view section,
                                             std::string_view key) const
{
    return split_blanks(text(section, key));
}

settings_builder::settings_builder(std::span<setting const> schema)
    : m_schema(schema.begin(), schema.end())
{
}

settings_builder& settings_builder::file(std::string_view name,
                                         std::string_view content)
{
    m_name = name;
    m_content = content;
    return *this;
}

settings_builder& settings_builder::override_value(std::string_view assignment)
{
    m_overrides.emplace_back(assignment);
    return *this;
}

settings settings_builder::build() const
{
    std::string errors;
    auto const add_error = [&](std::string_view location, std::string_view key,
                               std::string_view message)
    { errors += fmt::format("{}: {}: {}\n", location, key, message); };

    parse_context context{m_name, m_content, 0, false, {}};
    int const bad_line =
        ini_parse_stream(read_line, &context, collect_assignment, &context);
    if (bad_line > 0)
        add_error(fmt::format("{}:{}", m_name, bad_line), "syntax",
                  "allowed: [section], key = value, ; comment");
    for (std::string const& text : m_overrides)
    {
        auto const equal = text.find('=');
        auto const dot = text.find('.');
        if (equal == text.npos || dot == text.npos || dot > equal)
        {
            add_error("command line", text, "allowed: section.key=value");
            continue;
        }
        context.assignments.push_back({text.substr(0, dot),
                                       text.substr(dot + 1, equal - dot - 1),
                                       text.substr(equal + 1), "command line"});
    }

    settings result;
    for (setting const& declared : m_schema)
        result.m_values[full_key(declared.section, declared.key)] =
            declared.default_value;
    std::vector<std::string> assigned;
    for (assignment const& item : context.assignments)
    {
        std::string const key = full_key(item.section, item.key);
        auto const declared =
            std::find_if(m_schema.begin(), m_schema.end(),
                         [&](setting const& candidate) {
                             return candidate.section == item.section &&
                                    candidate.key == item.key;
                         });
        if (declared == m_schema.end())
        {
            std::string allowed;
            for (setting const& candidate : m_schema)
            {
                if (candidate.section == item.section)
                    allowed += ' ' + candidate.key;
            }
            add_error(item.location, key,
                      allowed.empty() ? "unknown section"
                                      : "unknown key, allowed:" + allowed);
            continue;
        }
        // A template leaves a value empty that its platform does not state.
        if (item.value.empty() && !declared->required &&
            declared->type != setting_type::text)
            continue;
        std::string const allowed = check_value(*declared, item.value);
        if (!allowed.empty())
        {
            add_error(item.location, key,
                      fmt::format("'{}' is not allowed, allowed: {}",
                                  item.value, allowed));
            continue;
        }
        result.m_values[key] = item.value;
        assigned.push_back(key);
    }
    for (setting const& declared : m_schema)
    {
        std::string const key = full_key(declared.section, declared.key);
        bool const missing =
            std::find(assigned.begin(), assigned.end(), key) == assigned.end();
        if (declared.required && missing && errors.find(key) == errors.npos)
            add_error(m_name, key, "required, missing");
    }
    if (!errors.empty())
        throw settings_error(errors);
    return result;
}

std::string read_file(std::string_view path)
{
    std::ifstream in{std::string(path), std::ios::binary};
    if (!in)
        throw settings_error(fmt::format("{}: cannot be read", path));
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

bool is_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == text.npos)
        return false;
    std::uint32_t port = 0;
    if (!parse_number(text.substr(colon + 1), port) || port < 1 || port > 65535)
        return false;
    std::string_view host = text.substr(0, colon);
    bool const bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    asio::error_code failure;
    auto const parsed = asio::ip::make_address(std::string(host), failure);
    return !failure && parsed.is_v6() == bracketed;
}

std::pair<std::string, std::uint16_t> split_address(std::string_view text)
{
    if (!is_address(text))
        throw settings_error(fmt::format("'{}' is not ip:port", text));
    auto const colon = text.rfind(':');
    std::uint16_t port = 0;
    parse_number(text.substr(colon + 1), port);
    std::string_view host = text.substr(0, colon);
    if (host.front() == '[')
        host = host.substr(1, host.size() - 2);
    return {std::string(host), port};
}

} // namespace gooseberrycove
