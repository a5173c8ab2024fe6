#ifndef GOOSEBERRYCOVE_WIRE_HPP
#define GOOSEBERRYCOVE_WIRE_HPP

#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/types.hpp>

#include <span>
#include <string>
#include <string_view>

namespace gooseberrycove::wire
{

/// Version of the messages between daemons; frames of newer versions are
/// refused.
inline constexpr unsigned char protocol_version = 1;

/// Size in bytes of the message authentication code (MAC), and of all that
/// precedes the encoded message in a frame: version and MAC.
inline constexpr std::size_t mac_size = 16;
inline constexpr std::size_t frame_header_size = 1 + mac_size;

/// Largest accepted frame in bytes: the largest body with its headers.
inline constexpr std::size_t max_frame_size = std::size_t{65} << 20;

struct message
{
    daemon_ref sender;
    peer::payload content;
};

/// Encodes a frame: version, HMAC-SHA256 truncated to 16 bytes, message in
/// Thrift's compact protocol.
/// \param now  used to convert deadlines to remaining time
std::string encode(std::string_view key, daemon_ref sender,
                   peer::payload const& content, time_point now);

/// Takes the body of work from \p content, which spares a copy of it.
std::string encode(std::string_view key, daemon_ref sender,
                   peer::payload&& content, time_point now);

/// Verifies and decodes a frame of encode().
/// \param keys  accepted shared keys, so that a key can be rotated
/// \throws error of kind wrong_protocol for a newer version, wrong_token for a
///     wrong MAC, bad_request when the message cannot be decoded
message decode(std::string_view frame, std::span<std::string const> keys,
               time_point now);

/// Replaces the MAC of \p frame by a valid one, for tests of the decoder.
std::string recompute_mac(std::string_view key, std::string_view frame);

} // namespace gooseberrycove::wire

#endif
