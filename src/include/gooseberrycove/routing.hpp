#ifndef GOOSEBERRYCOVE_ROUTING_HPP
#define GOOSEBERRYCOVE_ROUTING_HPP

#include <gooseberrycove/account_limit.hpp>
#include <gooseberrycove/claims.hpp>
#include <gooseberrycove/config.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/work.hpp>

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrycove::routing
{

/// A caller's request as read by the front end.
struct caller_request
{
    /// Identifier assigned by the daemon that received the request.
    request_id id;
    /// The caller's own identifier; opaque, forwarded unchanged.
    std::string caller_id;
    /// `ACCOUNT:SECRET` of the Authorization header, or the account's key when
    /// the settings name a header for it; empty when absent.
    std::string credentials;
    std::string method;
    /// Path and query.
    std::string target;
    std::string host;
    std::string content_type;
    /// Other headers, which are forwarded to the backend server.
    std::vector<header_field> headers;
    std::string body;
    std::string idempotency_key;
    std::string traceparent;
    /// Time that the caller waits for the response; zero when not given.
    duration time_allowed{0};
    time_point received;
};

/// The caller closed its connection.
struct caller_disconnected
{
    request_id id;
};

/// Refuses new requests and those that no server has begun, as this daemon is
/// about to stop.
struct refuse_unstarted
{
};

/// Reason why each candidate of a service is eligible or not, for the operator.
struct explanation
{
    error_kind kind = error_kind::none;
    std::string route;
    std::string service;
    std::string priority;
    bool repeatable = true;
    std::uint32_t floor_slots = 0;
    std::uint32_t healthy_slots = 0;
    struct entry
    {
        members::candidate server_info;
        bool eligible = false;
        std::string reason;
    };
    std::vector<entry> candidates;
};

struct explain_request
{
    std::string method;
    std::string host;
    std::string path;
    std::string account;
    std::function<void(explanation&&)> deliver;
};

/// Capacity of one service that this daemon can route to.
struct service_summary
{
    std::string service;
    std::uint32_t floor_slots = 0;
    std::uint32_t healthy_slots = 0;
    std::uint32_t servers = 0;
    std::uint32_t ejected = 0;
};

struct services_request
{
    std::function<void(std::vector<service_summary>&&)> deliver;
};

/// Messages that the routing duty handles.
using message =
    std::variant<std::monostate, caller_request, caller_disconnected,
                 work_result, claims::claim_result, claims::claim_released,
                 members::service_view_ptr, config::in_force, explain_request,
                 services_request, refuse_unstarted,
                 account_limit::token_decision>;
using inbox = ring<message>;

} // namespace gooseberrycove::routing

#endif
