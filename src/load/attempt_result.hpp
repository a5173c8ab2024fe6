#ifndef GOOSEBERRYCOVE_LOAD_ATTEMPT_RESULT_HPP
#define GOOSEBERRYCOVE_LOAD_ATTEMPT_RESULT_HPP

#include "load/transfer.hpp"
#include <gooseberrycove/error.hpp>

#include <optional>
#include <span>
#include <string>

namespace gooseberrycove::load
{

/// Result of one attempt as the caller sees it.
struct attempt_result
{
    outcome run_outcome = outcome::unknown;
    /// Whether the whole response arrived; absent without a response.
    std::optional<bool> is_complete;
    /// Whether the response belongs to this work; absent without a response.
    std::optional<bool> is_own_response;
    /// Backend server that ran the work, as named in the response.
    std::string server;
    /// How the attempt ended without a complete response; else empty.
    std::string reason;
};

/// Classifies the end of a transfer.
/// \param request_ids  ids sent for this work item, that of this attempt last.
///                     The recorded response to an earlier attempt belongs to
///                     the work item too.
attempt_result classify_attempt(transfer_result const& result,
                                std::span<std::string const> request_ids);

/// Whether the response was truncated, altered or belongs to another request.
bool is_wrong(attempt_result const& attempt);

} // namespace gooseberrycove::load

#endif
