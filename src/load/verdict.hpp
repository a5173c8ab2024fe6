#ifndef GOOSEBERRYCOVE_LOAD_VERDICT_HPP
#define GOOSEBERRYCOVE_LOAD_VERDICT_HPP

#include "load/transfer.hpp"
#include <gooseberrycove/error.hpp>

#include <optional>
#include <span>
#include <string>

namespace gooseberrycove::load
{

/// What a caller learns from one attempt.
struct verdict
{
    outcome result = outcome::unknown;
    /// Without a response both are absent.
    std::optional<bool> complete;
    std::optional<bool> own;
    std::string server;
    /// How the attempt ended without a response.
    std::string reason;
};

/// \param requests  ids sent for this piece of work, the last one now; the
///                  recorded response to an earlier attempt is its own too
verdict judge(transfer_result const& result,
              std::span<std::string const> requests);

/// Whether the response was cut, altered or another request's.
bool is_wrong(verdict const& what);

} // namespace gooseberrycove::load

#endif
