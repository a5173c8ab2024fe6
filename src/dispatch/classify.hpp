#ifndef GOOSEBERRYCOVE_DISPATCH_CLASSIFY_HPP
#define GOOSEBERRYCOVE_DISPATCH_CLASSIFY_HPP

#include <gooseberrycove/dispatch.hpp>
#include <gooseberrycove/header.hpp>

#include <optional>
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
    /// Two request id headers differ.
    bool has_other_request_id = false;
    /// A status line stands inside another line: the head begins with the part
    /// of another one.
    bool is_joined = false;
    std::string content_type;
    answer_statement statement;
    bool has_leaving_header = false;
    /// Server that the response names as its sender; empty when absent.
    std::string server_name;
    /// The response has the header that each success bears.
    bool has_stamp = false;
    /// The end of the final response's head has been read. Later lines are
    /// trailers, which change nothing.
    bool is_complete = false;
};

/// What shows, or fails to show, that a response belongs to the request that
/// was sent on its connection. A server may write more than one response to a
/// request, and the order of the bytes does not tell them apart.
enum class attribution : std::uint8_t
{
    by_id,            ///< it has the id that was sent
    by_connection,    ///< it has no id, and nothing else was sent there
    other_id,         ///< it has the id of another request
    joined,           ///< its head has the parts of two
    unidentified,     ///< it has no id on a connection that was used before
    unstamped_success ///< it is a success without the server's stamp
};

/// Value of the metrics' and log's label for the attribution.
std::string_view to_string(attribution found);

/// Whether the response may be taken for the one to the request.
bool is_attributed(attribution found);

/// What was sent before the response came.
struct sent_request
{
    /// Empty when the request had none.
    std::string_view request_id;
    /// Requests that were sent on the same connection before.
    std::uint64_t earlier_requests = 0;
    /// The servers stamp each success.
    bool expects_stamp = false;
};

/// \param head  complete head of the response
attribution attribute(response_head const& head, sent_request const& sent);

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
    /// The request had an id, which servers return.
    bool has_request_id = false;
    /// Unset when no head of a final response was complete.
    std::optional<attribution> response_attribution;
};

/// Classifies a transfer that has ended. A request that the server may have
/// received is classified as not run only when the server states so.
result_class classify(transfer_summary const& summary,
                      response_head const& head);

} // namespace gooseberrycove::dispatch

#endif
