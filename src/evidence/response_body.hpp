#ifndef GOOSEBERRYCOVE_EVIDENCE_RESPONSE_BODY_HPP
#define GOOSEBERRYCOVE_EVIDENCE_RESPONSE_BODY_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrycove::evidence
{

/// Largest filler that a caller can ask for, in bytes.
inline constexpr std::size_t max_filler = 1024 * 1024;

/// What a backend server stand-in tells about one piece of work.
struct answer_body
{
    std::string request_id;
    std::string server;
    std::string service;
    std::uint64_t sequence = 0;
};

/// JSON with a filler of \p filler_size bytes and a checksum over everything,
/// so that a reader can tell a cut or mixed body from a whole one.
std::string make_answer_body(answer_body const& what, std::size_t filler_size);

/// Returns nothing when \p text is cut, altered or of another kind.
std::optional<answer_body> read_answer_body(std::string_view text);

} // namespace gooseberrycove::evidence

#endif
