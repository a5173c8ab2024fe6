#ifndef GOOSEBERRYCOVE_DISPATCH_CLASSIFY_HPP
#define GOOSEBERRYCOVE_DISPATCH_CLASSIFY_HPP

#include <gooseberrycove/dispatch.hpp>

#include <string_view>

namespace gooseberrycove::dispatch
{

/// What the header lines of an answer told so far.
struct answer_head
{
    int status = 0;
    /// A Content-Length or a chunked encoding lets the end be recognised.
    bool delimited = false;
    bool outcome_not_run = false;
    std::string content_type;
};

/// Takes one header line with its line break. A status line starts a new
/// head, because interim answers precede the final one.
void on_header_line(answer_head& head, std::string_view line);

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
};

result_class classify(transfer_facts const& facts, answer_head const& head);

} // namespace gooseberrycove::dispatch

#endif
