#ifndef GOOSEBERRYCOVE_DISPATCH_CLASSIFY_HPP
#define GOOSEBERRYCOVE_DISPATCH_CLASSIFY_HPP

#include <gooseberrycove/dispatch.hpp>
#include <gooseberrycove/header.hpp>

#include <string_view>

namespace gooseberrycove::dispatch
{

/// What the header lines of an answer told so far.
struct answer_head
{
    int status = 0;
    std::vector<header_field> headers;
    /// A Content-Length or a chunked encoding lets the end be recognised.
    bool delimited = false;
    /// The server states that it did not run the request.
    bool not_run = false;
    /// Id of the request that the server answers; empty when it does not say.
    std::string request_id;
    std::string content_type;
};

/// Takes one header line with its line break. A status line starts a new
/// head, because interim answers precede the final one.
void on_header_line(answer_head& head, header_names const& names,
                    std::string_view line);

enum class transfer_end : std::uint8_t
{
    complete,
    timed_out,
    failed
};

/// How a transfer ended, as seen by the HTTP client.
struct transfer_facts
{
    transfer_end end = transfer_end::failed;
    bool cancelled = false;
    /// The client had a connection and was about to send the request.
    bool may_have_sent = false;
    bool head_request = false;
    /// An answer without a length is whole when its connection ends in order.
    bool undelimited_is_whole = false;
    /// The id with which the request was sent.
    std::string_view request_id = {};
};

result_class classify(transfer_facts const& facts, answer_head const& head);

} // namespace gooseberrycove::dispatch

#endif
