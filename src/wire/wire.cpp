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

/// HMAC-SHA256 over \p covered, the version and the encoded message, truncated
/// to \ref mac_size bytes.
std::string compute_mac(std::string_view key, std::string_view covered)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<unsigned char const*>(covered.data()), covered.size(),
         digest.data(), &size);
    return {reinterpret_cast<char const*>(digest.data()), mac_size};
}

std::string compute_mac(std::string_view key, unsigned char version,
                        std::string_view encoded)
{
    std::string covered(1, static_cast<char>(version));
    covered += encoded;
    return compute_mac(key, covered);
}

gen::Message read_message(std::string_view encoded)
{
    auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(encoded.data())),
        static_cast<std::uint32_t>(encoded.size()), TMemoryBuffer::OBSERVE);
    // A string or container size in a forged frame must not make the decoder
    // allocate more memory than a frame of this size can fill.
    auto const limit = static_cast<std::int32_t>(encoded.size());
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, limit, limit);
    gen::Message decoded;
    decoded.read(&protocol);
    return decoded;
}

} // namespace

std::string encode(std::string_view key, daemon_ref sender,
                   peer::payload const& content, time_point now)
{
    return encode(key, sender, peer::payload(content), now);
}

std::string encode(std::string_view key, daemon_ref sender,
                   peer::payload&& content, time_point now)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    {
        // Freed before the frame is allocated: a body takes memory at each
        // step.
        gen::Message out;
        out.sender.id = static_cast<std::int64_t>(sender.id);
        out.sender.incarnation = static_cast<std::int64_t>(sender.incarnation);
        std::string body;
        if (auto* work = std::get_if<work_request>(&content))
            body = std::move(work->body);
        to_thrift(content, now, out);
        if (!body.empty())
            out.work.body = std::move(body);
        TCompactProtocolT<TMemoryBuffer> protocol(buffer);
        out.write(&protocol);
    }
    std::uint8_t* encoded = nullptr;
    std::uint32_t size = 0;
    buffer->getBuffer(&encoded, &size);
    std::string frame;
    frame.reserve(frame_header_size + size);
    frame.assign(frame_header_size, static_cast<char>(protocol_version));
    frame.append(reinterpret_cast<char const*>(encoded), size);
    buffer.reset();
    // The version in the last byte of the header precedes the message, so that
    // the code is computed without a copy of both.
    std::string const mac =
        compute_mac(key, std::string_view(frame).substr(mac_size));
    frame.replace(1, mac_size, mac);
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
                    "unsupported protocol version " + std::to_string(version));
    std::string_view const mac = frame.substr(1, mac_size);
    std::string_view const encoded = frame.substr(frame_header_size);
    bool const is_authentic =
        std::any_of(keys.begin(), keys.end(),
                    [&](std::string const& key) {
                        return equal_in_constant_time(
                            mac, compute_mac(key, version, encoded));
                    });
    if (!is_authentic)
        throw error(error_kind::wrong_token,
                    "wrong message authentication code");
    try
    {
        gen::Message decoded = read_message(encoded);
        message out;
        out.sender = {static_cast<std::uint64_t>(decoded.sender.id),
                      static_cast<std::uint64_t>(decoded.sender.incarnation)};
        out.content = from_thrift(std::move(decoded), now);
        return out;
    }
    catch (apache::thrift::TException const& failure)
    {
        throw error(error_kind::bad_request, failure.what());
    }
}

std::string recompute_mac(std::string_view key, std::string_view frame)
{
    std::string_view const encoded = frame.substr(frame_header_size);
    std::string out(1, frame.front());
    out += compute_mac(key, static_cast<unsigned char>(frame.front()), encoded);
    out += encoded;
    return out;
}

} // namespace gooseberrycove::wire
