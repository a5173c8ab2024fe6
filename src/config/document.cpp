#include "config/document.hpp"

#include "config/entry_json.hpp"
#include "config/references.hpp"
#include "config/table_edit.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace gooseberrycove::config
{

namespace
{

using nlohmann::json;

/// In the order in which they must be read: routes refer to services, and both
/// refer to priorities.
constexpr std::string_view section_names[] = {"priorities", "services",
                                              "routes", "accounts"};

/// Number of queued entries at which a document reader packs them into shards.
/// Bounds the memory of entries that are not packed yet.
constexpr std::size_t flush_threshold = 65'536;

/// Nesting levels accepted; a valid document has 5. Merging recurses, so deep
/// nesting could exhaust the stack.
constexpr int max_nesting = 8;

/// Returns the patched entry as a complete JSON value.
template <class Value>
json merge_entry(std::optional<json> before, Value const& patch)
{
    json result = before ? std::move(*before) : json::object();
    if (!patch.is_object())
        return patch;
    result.merge_patch(patch);
    return result;
}

struct name_rule
{
    bool (*is_allowed)(std::string_view) = is_name;
    std::string_view allowed = "1 to 128 letters, digits and . _ @ -";
};

/// For accounts that callers address by a key alone. Where callers send the
/// name as well, it ends at the first colon.
constexpr name_rule key_account_names{
    is_account_name,
    "1 to 4096 bytes without control characters, no blank at an end"};

/// Returns whether the name is allowed; adds an error when it is not.
bool check_name(std::string_view name, std::string_view path,
                error_list& errors, name_rule const& rule = {})
{
    if (rule.is_allowed(name))
        return true;
    errors.push_back(
        {std::string(path),
         fmt::format("name not allowed, allowed: {}", rule.allowed)});
    return false;
}

template <class Value>
void queue_change(std::vector<change<Value>>& changes, std::string_view name,
                  std::optional<Value> value)
{
    if (value)
        changes.push_back({std::string(name), std::move(value)});
}

void set_service(table_edit& edit, table_data const& base,
                 std::string_view name, json const& patch, error_list& errors)
{
    std::string const path = pointer_to("/services", name);
    if (patch.is_null())
        return edit.services.push_back({std::string(name), std::nullopt});
    if (!check_name(name, path, errors))
        return;
    // The priority indices of the old entry refer to the priorities of the old
    // version.
    std::optional<json> before;
    if (service const* const old = find_service(base, name))
        before = to_json(*old, base.priorities);
    queue_change(edit.services, name,
                 parse_service(merge_entry(std::move(before), patch), name,
                               edit.data.priorities, path, errors));
}

void set_route(table_edit& edit, table_data const& base, std::string_view name,
               json const& patch, error_list& errors)
{
    std::string const path = pointer_to("/routes", name);
    if (patch.is_null())
        return edit.routes.push_back({std::string(name), std::nullopt});
    if (!check_name(name, path, errors))
        return;
    std::optional<json> before;
    if (auto const old = find_route(base, name))
        before = to_json(*old, base.priorities);
    queue_change(edit.routes, name,
                 parse_route(merge_entry(std::move(before), patch), name,
                             edit.data.priorities, path, errors));
}

void set_account(table_edit& edit, table_data const& base,
                 std::string_view name, json const& patch,
                 name_rule const& rule, error_list& errors)
{
    std::string const path = pointer_to("/accounts", name);
    if (patch.is_null())
        return edit.accounts.push_back({std::string(name), std::nullopt});
    if (!check_name(name, path, errors, rule))
        return;
    std::optional<json> before;
    if (auto const old = find_account(base, name))
        before = to_json(*old);
    queue_change(edit.accounts, name,
                 parse_account(merge_entry(std::move(before), patch), name,
                               path, errors));
}

/// Adds errors for ranks that are used twice and for too many priorities.
void check_ranks(std::vector<priority> const& sorted, error_list& errors)
{
    for (std::size_t i = 1; i < sorted.size(); ++i)
    {
        if (sorted[i].rank == sorted[i - 1].rank)
            errors.push_back(
                {pointer_to(pointer_to("/priorities", sorted[i].name), "rank"),
                 fmt::format("rank {} is also used by priority '{}'",
                             sorted[i].rank, sorted[i - 1].name)});
    }
    if (sorted.size() > max_priorities)
        errors.push_back({"/priorities", fmt::format("at most {} are allowed",
                                                     max_priorities)});
}

void set_priorities(table_edit& edit, json const& patch, error_list& errors)
{
    std::size_t const errors_before = errors.size();
    std::vector<priority> result = edit.data.priorities;
    if (patch.is_null())
        result.clear();
    for (auto const& [name, value] : patch.items())
    {
        auto const old = std::find_if(result.begin(), result.end(),
                                      [&, &key = name](priority const& entry)
                                      { return entry.name == key; });
        std::optional<json> before;
        if (old != result.end())
        {
            before = to_json(*old);
            result.erase(old);
        }
        std::string const path = pointer_to("/priorities", name);
        if (value.is_null() || !check_name(name, path, errors))
            continue;
        auto parsed_entry = parse_priority(
            merge_entry(std::move(before), value), name, path, errors);
        if (parsed_entry)
            result.push_back(std::move(*parsed_entry));
    }
    std::sort(result.begin(), result.end(),
              [](priority const& left, priority const& right) {
                  return std::tie(left.rank, left.name) <
                         std::tie(right.rank, right.name);
              });
    check_ranks(result, errors);
    if (errors.size() == errors_before)
        replace_priorities(edit, std::move(result));
}

void clear_section(table_edit& edit, std::string_view section)
{
    if (section == "services")
        edit.data.services = {};
    if (section == "accounts")
        edit.data.accounts = {};
    if (section != "routes")
        return;
    edit.data.routes = {};
    edit.data.patterns = {};
    edit.data.wildcard_lengths.clear();
}

void set_entry(table_edit& edit, table_data const& base,
               std::string_view section, std::string_view name,
               json const& value, name_rule const& account_names,
               error_list& errors)
{
    if (section == "services")
        set_service(edit, base, name, value, errors);
    else if (section == "routes")
        set_route(edit, base, name, value, errors);
    else
        set_account(edit, base, name, value, account_names, errors);
}

void set_section(table_edit& edit, table_data const& base,
                 std::string_view section, json const& patch,
                 error_list& errors)
{
    if (!patch.is_object() && !patch.is_null())
    {
        errors.push_back({pointer_to("", section), "must be an object"});
        return;
    }
    if (section == "priorities")
        return set_priorities(edit, patch, errors);
    if (patch.is_null())
        return clear_section(edit, section);
    for (auto const& [name, value] : patch.items())
        set_entry(edit, base, section, name, value, {}, errors);
}

/// Adds an error for each unknown section.
void check_sections(json const& patch, error_list& errors)
{
    for (auto const& [name, value] : patch.items())
    {
        if (std::find(std::begin(section_names), std::end(section_names),
                      name) == std::end(section_names))
            errors.push_back(
                {pointer_to("", name),
                 fmt::format("unknown, allowed: {}",
                             fmt::join(std::begin(section_names),
                                       std::end(section_names), " "))});
    }
}

parse_result make_result(table_edit&& edit, error_list&& errors,
                         std::uint64_t version)
{
    if (!errors.empty())
        return {nullptr, std::move(errors)};
    edit.data.version = version;
    return {std::make_shared<table_data const>(std::move(edit.data)), {}};
}

/// Receives the entries of a document one by one from json::parse().
struct document_reader
{
    /// Continues without the entries that cannot be used.
    bool keeps_usable_entries = false;
    table_edit edit;
    table_data const empty_base{};
    json priorities = json::object();
    std::string section;
    std::string name;
    error_list errors;

    /// Returns whether the parser keeps the value; entries are dropped.
    bool on_event(int depth, json::parse_event_t event, json& value)
    {
        if (depth > max_nesting)
            return false;
        if (event == json::parse_event_t::key && depth == 1)
        {
            section = value.get<std::string>();
            // The entries of an array have no names.
            name.clear();
        }
        if (event == json::parse_event_t::key && depth == 2)
            name = value.get<std::string>();
        if (event == json::parse_event_t::object_end && depth == 1 &&
            section == "priorities")
            set_priorities(edit, priorities, errors);
        if (event != json::parse_event_t::object_end || depth != 2)
            return true;
        if (section == "priorities")
            priorities[name] = value;
        else
            read_entry(value);
        if (edit.accounts.size() + edit.routes.size() >= flush_threshold)
            flush(edit);
        return false;
    }

    void read_entry(json const& value)
    {
        std::size_t const errors_before = errors.size();
        set_entry(edit, empty_base, section, name, value,
                  keeps_usable_entries ? key_account_names : name_rule{},
                  errors);
        if (errors.size() == errors_before || !keeps_usable_entries ||
            section != "routes" || !is_name(name))
            return;
        if (auto refusing = parse_refusing_route(value, name))
            edit.routes.push_back({name, std::move(refusing)});
    }
};

/// Reads the sections of a document. Adds an error for each one that is no
/// object of objects. Returns false when the document is no JSON object.
bool read_sections(document_reader& reader, std::string_view document)
{
    json const remainder = json::parse(
        document,
        [&](int depth, json::parse_event_t event, json& value)
        { return reader.on_event(depth, event, value); },
        false);
    if (!remainder.is_object())
    {
        reader.errors.push_back({"", "must be a JSON object"});
        return false;
    }
    check_sections(remainder, reader.errors);
    for (auto const& [name, unread] : remainder.items())
    {
        // The reader has removed all entries that are objects.
        if (!unread.is_object() || !unread.empty())
            reader.errors.push_back(
                {pointer_to("", name), "must be an object of objects"});
    }
    flush(reader.edit);
    return true;
}

/// Replaces the routes whose service or priority does not exist by routes that
/// refuse their requests.
void refuse_unresolved_routes(table_edit& edit, error_list& errors)
{
    for_each_route(edit.data,
                   [&](route const& checked)
                   {
                       if (refuses_requests(checked))
                           return;
                       std::size_t const errors_before = errors.size();
                       check_route(edit.data, checked, errors);
                       if (errors.size() != errors_before)
                           edit.routes.push_back(
                               {checked.name, make_refusing_route(checked)});
                   });
    flush(edit);
}

/// Adds an error for each account that has a key of another one. Where accounts
/// are found by name, they may share a key, so only documents are checked whose
/// accounts may be found by key.
void check_account_keys(table_data const& data, error_list& errors)
{
    for_each_account(
        data,
        [&](account const& checked)
        {
            std::string const other = find_account_with_same_key(data, checked);
            if (!other.empty())
                errors.push_back(
                    {pointer_to(pointer_to("/accounts", checked.name),
                                "key_hashes"),
                     fmt::format("account '{}' has the same key", other)});
        });
}

/// Appends `"name":value` with a comma before all but the first.
void append_entry(std::string& out, bool& first, std::string_view name,
                  json const& value)
{
    out += first ? "\n" : ",\n";
    first = false;
    out += json(std::string(name)).dump();
    out += ':';
    out += value.dump();
}

} // namespace

parse_result apply_patch(table_data const& base, std::string_view patch,
                         std::uint64_t version)
{
    error_list errors;
    if (patch.size() > max_patch_size)
        return {nullptr, {{"", "longer than 1 MiB"}}};
    bool too_deep = false;
    json const document = json::parse(
        patch,
        [&](int depth, json::parse_event_t, json&)
        {
            too_deep = too_deep || depth > max_nesting;
            return depth <= max_nesting;
        },
        false);
    if (too_deep)
        return {nullptr, {{"", "nested too deeply"}}};
    if (!document.is_object())
        return {nullptr, {{"", "must be a JSON object"}}};
    check_sections(document, errors);
    table_edit edit;
    edit.data = base;
    for (std::string_view section : section_names)
    {
        auto const found = document.find(section);
        if (found != document.end())
            set_section(edit, base, section, *found, errors);
    }
    if (errors.empty())
    {
        bool const cleared =
            std::any_of(document.begin(), document.end(),
                        [](json const& value) { return value.is_null(); });
        change_summary const changed = summarise_changes(edit, base, cleared);
        flush(edit);
        check_references(edit.data, base, changed, errors);
    }
    return make_result(std::move(edit), std::move(errors), version);
}

parse_result parse_document(std::string_view document, std::uint64_t version)
{
    document_reader reader;
    read_sections(reader, document);
    change_summary everything;
    everything.requires_full_check = true;
    if (reader.errors.empty())
        check_references(reader.edit.data, reader.empty_base, everything,
                         reader.errors);
    return make_result(std::move(reader.edit), std::move(reader.errors),
                       version);
}

parse_result parse_usable_entries(std::string_view document,
                                  std::uint64_t version)
{
    document_reader reader;
    reader.keeps_usable_entries = true;
    if (!read_sections(reader, document))
        return {nullptr, std::move(reader.errors)};
    refuse_unresolved_routes(reader.edit, reader.errors);
    check_account_keys(reader.edit.data, reader.errors);
    parse_result result = make_result(std::move(reader.edit), {}, version);
    result.errors = std::move(reader.errors);
    return result;
}

std::string render_document(table_data const& data)
{
    std::string out = "{\"priorities\":{";
    bool first = true;
    for (priority const& value : data.priorities)
        append_entry(out, first, value.name, to_json(value));
    out += "},\n\"services\":{";
    first = true;
    for_each_service(data,
                     [&](service const& value) {
                         append_entry(out, first, value.name,
                                      to_json(value, data.priorities));
                     });
    out += "},\n\"routes\":{";
    first = true;
    for_each_route(data,
                   [&](route const& value) {
                       append_entry(out, first, value.name,
                                    to_json(value, data.priorities));
                   });
    out += "},\n\"accounts\":{";
    first = true;
    for_each_account(data, [&](account const& value)
                     { append_entry(out, first, value.name, to_json(value)); });
    out += "}}\n";
    return out;
}

} // namespace gooseberrycove::config
