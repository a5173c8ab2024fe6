#ifndef GOOSEBERRYCOVE_CONFIG_DOCUMENT_HPP
#define GOOSEBERRYCOVE_CONFIG_DOCUMENT_HPP

#include "config/table_data.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::config
{

/// Longest patch in bytes.
inline constexpr std::size_t max_patch_size = 1 << 20;

/// Tables of the next version, or every error found in the input. The result of
/// parse_usable_entries() may have both.
struct parse_result
{
    std::shared_ptr<table_data const> data;
    std::vector<patch_error> errors;
};

/// Applies a merge patch (RFC 7386) to \p base and checks the result.
parse_result apply_patch(table_data const& base, std::string_view patch,
                         std::uint64_t version);

/// Reads a document rendered by render_document(). Holds one entry at a time
/// as a JSON value, because a JSON tree of a document with 540,000 accounts
/// would take several times the memory that a daemon may use.
parse_result parse_document(std::string_view document, std::uint64_t version);

/// Reads a document whose author gets no reply and cannot correct it, and which
/// all daemons must read alike. An entry that cannot be used does not affect
/// the others: it is left out. A route that cannot be used keeps its host and
/// path when these can be read, and refuses its requests; without it they could
/// match a shorter path and reach the service of another route. Only a text
/// that is no JSON object is refused: what the document does not hold must not
/// stay in force because of errors in the rest of it.
parse_result parse_usable_entries(std::string_view document,
                                  std::uint64_t version);

/// The whole document as JSON text, priorities first.
std::string render_document(table_data const& data);

} // namespace gooseberrycove::config

#endif
