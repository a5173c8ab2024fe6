#ifndef GOOSEBERRYCOVE_ROUTING_HPP
#define GOOSEBERRYCOVE_ROUTING_HPP

#include <gooseberrycove/account_limit.hpp>
#include <gooseberrycove/claims.hpp>
#include <gooseberrycove/config.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/work.hpp>

#include <functional>
#include <optional>
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
    /// The lookup failed: no_configuration, unauthenticated for an unknown
    /// account, no_route, or no_server for a service without servers.
    error_kind kind = error_kind::none;
    std::string detail;
    /// The rule that would refuse the request at entry, or none.
    error_kind entry_refusal = error_kind::none;
    std::string entry_rule;
    std::string account;
    float account_rate = 0;
    float account_burst = 0;
    /// Tokens in this daemon's own bucket, if it has one for the account.
    std::optional<float> account_tokens;
    duration timeout{0};
    std::uint32_t attempts = 0;
    bool needs_account = false;
    /// Non-repeatable requests need an idempotency key and a claim.
    bool needs_claim = false;
    std::size_t max_body_bytes = 0;
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
        /// (in flight + queued) / slots, as this daemon counts it.
        double load = 0;
        double failure_probability = 0;
        /// Age of the failure probability, if its home has reported one.
        std::optional<duration> news_age;
        double cost_inside = 0;
        double cost_outside = 0;
        bool is_local = false;
    };
    std::vector<entry> candidates;
    /// One of the choices that this daemon would make now; each choice compares
    /// a random sample. Empty when no candidate is eligible.
    std::string chosen_server;
    std::string chosen_reason;
};

struct explain_request
{
    std::string method;
    std::string host;
    std::string path;
    std::string account;
    std::size_t body_bytes = 0;
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
