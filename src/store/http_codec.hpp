#ifndef GOOSEBERRYCOVE_STORE_HTTP_CODEC_HPP
#define GOOSEBERRYCOVE_STORE_HTTP_CODEC_HPP

#include <gooseberrycove/store.hpp>

#include <string>
#include <string_view>

namespace gooseberrycove::store
{

/// Encodes an operation for the HTTP interface of src/fake_platform.
http_call encode(operation const& op);

/// Classifies the end of a transfer and reads its body. The reply is `unknown`
/// when the body cannot be parsed.
reply decode(operation const& op, std::uint64_t number,
             transfer_end const& end);

} // namespace gooseberrycove::store

#endif
