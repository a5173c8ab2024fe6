#ifndef GOOSEBERRYCOVE_HEADER_HPP
#define GOOSEBERRYCOVE_HEADER_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove
{

/// One header field of an HTTP message.
struct header_field
{
    std::string name;
    std::string value;

    bool operator==(header_field const&) const = default;
};

/// Names of the headers that the daemons read and set. A deployment's callers
/// and backend servers may use names other than the defaults.
struct header_names
{
    /// Id set by the caller; forwarded unchanged and returned in responses.
    std::string request_id = "X-Request-Id";
    /// Time until the sender's deadline, in milliseconds.
    std::string time_allowed = "X-Deadline-Ms";
    /// Name of the backend server that the request is for; any other server
    /// must refuse it. Empty when the servers do not check it.
    std::string expected_server;
    /// Service of the VM that the request originated from; not sent when
    /// empty.
    std::string caller_service;
    /// Response header whose presence states that the server did not run the
    /// request. When empty, `X-Outcome: not_run` does.
    std::string not_run;
    /// Request header that holds an account's key and nothing else; never
    /// forwarded. When empty, callers send `Authorization: Bearer
    /// ACCOUNT:SECRET`.
    std::string account_key;
    /// Request header with the name of the caller's account, set for the
    /// backend server whatever the caller sent. Not sent when empty.
    std::string account_name;
    /// Response header with the requests per second that the server takes from
    /// all daemons together. Empty when the servers name no limit.
    std::string server_limit;
    /// Response header in which a backend server names itself when it is
    /// probed. Empty when the servers do not.
    std::string server_name;
    /// Response header that each success of a backend server bears. Empty when
    /// the servers send none.
    std::string server_stamp;
    /// Response header that is `1` while the server leaves. Empty when the
    /// servers do not say so.
    std::string server_leaving;
    /// Response header with the load of the backend server,
    /// `running,waiting,slots`. Empty when the servers do not send it.
    std::string server_load;
};

/// Compares header names case-insensitively.
bool is_same_header(std::string_view left, std::string_view right);

/// Whether a header can hold the text so that its receiver reads the same: no
/// control characters and no blank at an end, which a receiver removes.
bool is_header_text(std::string_view text);

/// The headers to forward to the next hop: all but hop-by-hop headers,
/// Content-Length and the names in \p excluded.
std::vector<header_field>
forwarded_headers(std::span<header_field const> headers,
                  std::span<std::string_view const> excluded);

} // namespace gooseberrycove

#endif
