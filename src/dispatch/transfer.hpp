#ifndef GOOSEBERRYCOVE_DISPATCH_TRANSFER_HPP
#define GOOSEBERRYCOVE_DISPATCH_TRANSFER_HPP

#include "classify.hpp"
#include <gooseberrycove/dispatch.hpp>
#include <gooseberrycove/http_connections.hpp>

#include <curl/curl.h>

#include <memory>
#include <optional>

namespace gooseberrycove::dispatch
{

/// HTTP options of a deployment's backend servers.
struct server_http_options
{
    header_names names;
    /// Maximum size of a response body.
    std::size_t max_body_bytes = 1 << 20;
    /// A response without a length is complete when its connection is closed
    /// without an error.
    bool accepts_undelimited = false;
    /// Maximum size of all response bodies that are being received.
    std::size_t max_buffered_bytes = std::size_t{256} << 20;
};

struct easy_deleter
{
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct header_deleter
{
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using easy_ptr = std::unique_ptr<CURL, easy_deleter>;
using header_ptr = std::unique_ptr<curl_slist, header_deleter>;

/// One request to a backend server. libcurl holds pointers to it, so it must
/// not move until its handle is removed from the multi handle.
struct transfer
{
    start job;
    server_http_options const* options = nullptr;
    /// Set for a probe; `job` then holds only the server and its address.
    bool is_probe = false;
    easy_ptr easy;
    header_ptr headers;
    response_head head;
    std::string body;
    bool is_too_large = false;
    /// Size of the bodies of all transfers in flight; null for a probe, whose
    /// body is not counted.
    std::size_t* buffered_bytes = nullptr;
    /// How often libcurl was about to send the request.
    int send_count = 0;
    /// The request was not sent on the connection that libcurl chose first.
    bool is_resent = false;
    http_client::chosen_connection connection;
    /// Unset until the head of a final response is complete.
    std::optional<attribution> response_attribution;
    time_point started;
};

/// What the transfers of one duty share; outlives them.
struct transfer_context
{
    server_http_options const* options = nullptr;
    http_client::connection_table* connections = nullptr;
    /// See transfer::buffered_bytes.
    std::size_t* buffered_bytes = nullptr;
};

/// Sets up \p easy for the job. The transfer times out at the deadline of the
/// job's request.
std::unique_ptr<transfer> make_transfer(easy_ptr easy, start&& job,
                                        transfer_context const& shared,
                                        time_point now);

/// Sets up a request to the probe endpoint.
std::unique_ptr<transfer> make_transfer(easy_ptr easy, probe const& request,
                                        transfer_context const& shared,
                                        time_point now);

/// Whether a transfer has ended because its kept connection was not usable, so
/// that nothing was sent and another connection may serve.
bool may_send_again(transfer const& ended, time_point now);

/// Prepares a transfer that may_send_again() for a new connection.
void send_again(transfer& ended, time_point now);

/// Classifies a transfer that libcurl has ended and moves the response out of
/// it.
finished finish_transfer(transfer& ended, CURLcode code, time_point now);

} // namespace gooseberrycove::dispatch

#endif
