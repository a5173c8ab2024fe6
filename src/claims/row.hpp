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
    /// Unique for each time that a daemon takes the claim, so that a daemon
    /// whose reply was lost recognises its own write.
    std::string grant;
    std::uint64_t body_hash = 0;
    std::vector<claim_home> homes;
    /// Zero when the claimant ended without knowing the outcome.
    daemon_ref claimant;
    bool done = false;
    work_result answer;
};

std::string row_key(std::string_view account, std::string_view key);

/// JSON text of the row.
std::string encode_row(claim_row const& row);

/// Returns nothing for text that is not a claim row.
std::optional<claim_row> decode_row(std::string_view text);

} // namespace gooseberrycove::claims

#endif
