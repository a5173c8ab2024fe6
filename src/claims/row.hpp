#ifndef GOOSEBERRYCOVE_CLAIMS_ROW_HPP
#define GOOSEBERRYCOVE_CLAIMS_ROW_HPP

#include <gooseberrycove/claims.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrycove::claims
{

/// Content of a row `claim/<account>/<key>`.
struct claim_row
{
    std::string id;
    std::uint64_t epoch = 1;
    /// Unique for each grant of the claim. A daemon that lost the reply of a
    /// write compares it to find out whether the row is its own.
    std::string grant;
    std::uint64_t body_hash = 0;
    std::vector<claim_home> homes;
    /// Zero when the claim ended with an unknown outcome.
    daemon_ref claimant;
    bool is_done = false;
    /// Unix time of the write in seconds, used to delete old rows only.
    std::uint64_t written = 0;
    work_result result;
    /// Era of the store in which the claim was granted, or 0, and the version
    /// of the row at the grant; 0 stands for the present version of the row.
    std::uint64_t era = 0;
    std::uint64_t granted_version = 0;
};

std::string row_key(std::string_view account, std::string_view key);

/// Encodes the row as JSON.
std::string encode_row(claim_row const& row);

/// Returns nothing when \p text is not a claim row.
std::optional<claim_row> decode_row(std::string_view text);

} // namespace gooseberrycove::claims

#endif
