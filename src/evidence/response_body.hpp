#ifndef GOOSEBERRYCOVE_EVIDENCE_RESPONSE_BODY_HPP
#define GOOSEBERRYCOVE_EVIDENCE_RESPONSE_BODY_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrycove::evidence
{

/// Largest filler that a caller can request, in bytes.
inline constexpr std::size_t max_filler_size = 1024 * 1024;

/// What the fake backend server reports about one request.
struct response_body
{
    std::string request_id;
    std::string server;
    std::string service;
    std::uint64_t sequence = 0;
};

/// Encodes the body as JSON with a filler and a checksum over the other
/// members, so that a reader detects a truncated or mixed body.
/// \param filler_size  in bytes, limited to max_filler_size
std::string make_response_body(response_body const& body,
                               std::size_t filler_size);

/// Returns nothing when \p text is truncated, altered or no response body.
std::optional<response_body> parse_response_body(std::string_view text);

} // namespace gooseberrycove::evidence

#endif
