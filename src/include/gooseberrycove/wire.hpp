#ifndef GOOSEBERRYCOVE_WIRE_HPP
#define GOOSEBERRYCOVE_WIRE_HPP

#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/types.hpp>

#include <span>
#include <string>
#include <string_view>

namespace gooseberrycove::wire
{

/// Version of the messages between daemons; frames of a newer one are refused.
inline constexpr unsigned char protocol_version = 1;

/// Bytes of a frame before the encoded message: version and code.
inline constexpr std::size_t mac_size = 16;
inline constexpr std::size_t frame_header_size = 1 + mac_size;

/// Largest frame that is accepted: the largest body with its headers.
inline constexpr std::size_t max_frame_size = std::size_t{65} << 20;

struct message
{
    daemon_ref sender;
    peer::payload content;
};

/// Encodes a frame: version, HMAC-SHA256 cut to 16 bytes, compact Thrift.
/// \param now  turns deadlines into remaining time
std::string encode(std::string_view key, daemon_ref sender,
                   peer::payload const& what, time_point now);

/// Checks and decodes a frame of encode().
/// \param keys  accepted shared keys, so that a key can be rotated
/// \throws error of kind wrong_protocol for a newer version, wrong_token for a
///     wrong code, bad_request for anything that does not decode
message decode(std::string_view frame, std::span<std::string const> keys,
               time_point now);

/// Computes the code of \p frame again, for tests of the decoder.
std::string recompute_mac(std::string_view key, std::string_view frame);

} // namespace gooseberrycove::wire

#endif
