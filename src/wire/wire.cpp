#include "convert.hpp"
#include <gooseberrycove/key_set.hpp>
#include <gooseberrycove/wire.hpp>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <array>

namespace gooseberrycove::wire
{

namespace
{

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// Code over version and message, cut to mac_size bytes.
std::string code_of(std::string_view key, unsigned char version,
                    std::string_view encoded)
{
    std::string covered(1, static_cast<char>(version));
    covered += encoded;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<unsigned char const*>(covered.data()), covered.size(),
         digest.data(), &size);
    return {reinterpret_cast<char const*>(digest.data()), mac_size};
}

gen::Message read_message(std::string_view encoded)
{
    auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(encoded.data())),
        static_cast<std::uint32_t>(encoded.size()), TMemoryBuffer::OBSERVE);
    // A forged size must not make the decoder allocate more than the frame
    // could hold.
    auto const limit = static_cast<std::int32_t>(encoded.size());
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, limit, limit);
    gen::Message decoded;
    decoded.read(&protocol);
    return decoded;
}

} // namespace

std::string encode(std::string_view key, daemon_ref sender,
                   peer::payload const& what, time_point now)
{
    gen::Message out;
    out.sender.id = static_cast<std::int64_t>(sender.id);
    out.sender.incarnation = static_cast<std::int64_t>(sender.incarnation);
    to_thrift(what, now, out);

    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    out.write(&protocol);
    std::string const encoded = buffer->getBufferAsString();

    std::string frame(1, static_cast<char>(protocol_version));
    frame += code_of(key, protocol_version, encoded);
    frame += encoded;
    return frame;
}

message decode(std::string_view frame, std::span<std::string const> keys,
               time_point now)
{
    if (frame.size() <= frame_header_size || frame.size() > max_frame_size)
        throw error(error_kind::bad_request, "frame size out of range");
    auto const version = static_cast<unsigned char>(frame.front());
    if (version > protocol_version || version == 0)
        throw error(error_kind::wrong_protocol,
                    "protocol version " + std::to_string(version));
    std::string_view const code = frame.substr(1, mac_size);
    std::string_view const encoded = frame.substr(frame_header_size);
    bool const known = std::any_of(
        keys.begin(), keys.end(),
        [&](std::string const& key) {
            return equal_in_constant_time(code, code_of(key, version, encoded));
        });
    if (!known)
        throw error(error_kind::wrong_token, "wrong message code");
    try
    {
        gen::Message const decoded = read_message(encoded);
        message out;
        out.sender = {static_cast<std::uint64_t>(decoded.sender.id),
                      static_cast<std::uint64_t>(decoded.sender.incarnation)};
        out.content = from_thrift(decoded, now);
        return out;
    }
    catch (apache::thrift::TException const& fault)
    {
        throw error(error_kind::bad_request, fault.what());
    }
}

std::string recompute_mac(std::string_view key, std::string_view frame)
{
    std::string_view const encoded = frame.substr(frame_header_size);
    std::string out(1, frame.front());
    out += code_of(key, static_cast<unsigned char>(frame.front()), encoded);
    out += encoded;
    return out;
}

} // namespace gooseberrycove::wire
