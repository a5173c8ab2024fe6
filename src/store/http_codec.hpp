#ifndef GOOSEBERRYCOVE_STORE_HTTP_CODEC_HPP
#define GOOSEBERRYCOVE_STORE_HTTP_CODEC_HPP

#include <gooseberrycove/store.hpp>

#include <string>
#include <string_view>

namespace gooseberrycove::store
{

http_call encode(operation const& what);

reply decode(operation const& what, std::uint64_t number,
             transfer_end const& end);

} // namespace gooseberrycove::store

#endif
