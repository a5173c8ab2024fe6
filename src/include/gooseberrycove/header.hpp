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

/// Names of the headers that the fleet itself reads and sets, as callers and
/// backend servers of a deployment know them.
struct header_names
{
    /// Chosen by the caller, passed on as it came and repeated by answers.
    std::string request_id = "X-Request-Id";
    /// Milliseconds that the sender still waits.
    std::string time_allowed = "X-Deadline-Ms";
    /// Backend server that is meant; another one must not run the request.
    /// Empty when the servers do not check it.
    std::string expected_server;
    /// Service of the VM where the request began; not sent when empty.
    std::string caller_service;
    /// Its presence states that the server did not run the request. Empty when
    /// the servers only use `X-Outcome: not_run`.
    std::string not_run;
};

/// Compares names as HTTP does, without regard to case.
bool is_same_header(std::string_view left, std::string_view right);

/// The headers that go on to the next hop: those of one connection, the length
/// of the body and the names in \p own are left out.
std::vector<header_field>
forwarded_headers(std::span<header_field const> headers,
                  std::span<std::string_view const> own);

} // namespace gooseberrycove

#endif
