#ifndef GOOSEBERRYCOVE_DISPATCH_CLASSIFY_HPP
#define GOOSEBERRYCOVE_DISPATCH_CLASSIFY_HPP

#include <gooseberrycove/dispatch.hpp>
#include <gooseberrycove/header.hpp>

#include <string_view>

namespace gooseberrycove::dispatch
{

/// The address belongs to another server than the expected one. That other
/// server refuses the request and does not run it.
inline constexpr int misdirected_status = 421;

/// Values read from the header lines of a response so far.
struct response_head
{
    int status = 0;
    std::vector<header_field> headers;
    /// Content-Length or chunked encoding marks the end of the body.
    bool is_delimited = false;
    /// The server states that it did not run the request.
    bool states_not_run = false;
    /// Request id header of the response; empty when absent.
    std::string request_id;
    std::string content_type;
    answer_statement statement;
    bool has_leaving_header = false;
};

/// Reads one header line, including its line break, into \p head. A status
/// line resets the head, because interim responses precede the final one.
void apply_header_line(response_head& head, header_names const& names,
                       std::string_view line);

enum class transfer_end : std::uint8_t
{
    complete,
    timed_out,
    failed
};

/// How a transfer ended, as seen by the HTTP client.
struct transfer_summary
{
    transfer_end end = transfer_end::failed;
    bool is_cancelled = false;
    /// The client was connected and about to send the request, so the server
    /// may have received it.
    bool may_have_sent = false;
    bool is_head_request = false;
    /// A response without a length is complete when its connection is closed
    /// without an error.
    bool accepts_undelimited = false;
    /// Id that was sent with the request.
    std::string_view request_id = {};
};

/// Classifies a transfer that has ended. A request that the server may have
/// received is classified as not run only when the server states so.
result_class classify(transfer_summary const& summary,
                      response_head const& head);

} // namespace gooseberrycove::dispatch

#endif
