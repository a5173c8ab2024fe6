#ifndef GOOSEBERRYCOVE_STORE_CALL_HPP
#define GOOSEBERRYCOVE_STORE_CALL_HPP

#include <gooseberrycove/store.hpp>

#include <string>
#include <string_view>

namespace gooseberrycove::store
{

/// An operation as the platform's HTTP interface takes it.
struct http_call
{
    std::string method;
    /// Path and query, percent-encoded.
    std::string target;
    std::string body;
    bool is_write = false;
};

http_call encode(operation const& what);

/// How a transfer ended.
struct transfer_end
{
    /// The whole response was received.
    bool complete = false;
    /// Bytes of the request may have left this process.
    bool sent = false;
    int status = 0;
    std::string_view body;
};

/// Classifies the end of a transfer. A write without a complete and readable
/// response is unknown; refused only stands for calls that certainly wrote
/// nothing.
reply decode(operation const& what, std::uint64_t number,
             transfer_end const& end);

} // namespace gooseberrycove::store

#endif
