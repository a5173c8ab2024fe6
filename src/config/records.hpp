#ifndef GOOSEBERRYCOVE_CONFIG_RECORDS_HPP
#define GOOSEBERRYCOVE_CONFIG_RECORDS_HPP

#include <gooseberrycove/config.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::config
{

/// Key of the row that holds the version in force.
inline constexpr std::string_view head_key = "config/head";
inline constexpr std::string_view patch_prefix = "config/patch/";

/// Key of the row with the whole document, for operators that keep it in the
/// store.
inline constexpr std::string_view document_key = "config/document";

/// Versions between two snapshots.
inline constexpr std::uint64_t snapshot_interval = 64;

struct head_record
{
    std::uint64_t version = 0;
    /// Patch that led to the version.
    std::string patch_id;
};

/// Key of the row with the patch that led to a version. The number has leading
/// zeros, so that a scan returns patches in order.
std::string patch_key(std::uint64_t version);

std::string snapshot_name(std::uint64_t version);

std::string render_head(head_record const& head);
std::optional<head_record> parse_head(std::string_view text);

inline constexpr std::size_t max_source_fields = 16;

struct source_field
{
    std::string name;
    std::string value;
};

/// Content of the row document_key.
struct stored_document
{
    std::uint64_t version = 0;
    /// See parse_document().
    std::string text;
    /// What an adapter tells of the text that it has translated, for the log.
    std::vector<source_field> source = {};
};

/// `{"version": NUMBER, "document": OBJECT}`, and optionally `"source"` with
/// texts and numbers, of which at most max_source_fields are kept; nothing for
/// other text.
std::optional<stored_document> parse_stored_document(std::string_view text);

std::string render_delta(delta const& record);
std::optional<delta> parse_delta(std::string_view text);

} // namespace gooseberrycove::config

#endif
