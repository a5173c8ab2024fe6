#ifndef GOOSEBERRYCOVE_ACCOUNT_LIMIT_HPP
#define GOOSEBERRYCOVE_ACCOUNT_LIMIT_HPP

#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/types.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrycove::account_limit
{

/// A daemon that is known, whatever its state.
struct fleet_member
{
    daemon_ref daemon;
    /// Peer address, `ip:port`.
    std::string address;
    /// Alive or suspect.
    bool is_live = true;
};

/// All daemons that this daemon knows, itself included. Sent when they change.
struct fleet
{
    /// A synchronisation with a peer has told this daemon the others.
    bool has_joined = false;
    std::vector<fleet_member> members;
};

/// Asks for one token of an account that has a rate.
struct token_request
{
    request_id id;
    std::string account;
    double rate = 0;
    double burst = 0;
};

struct token_decision
{
    request_id id;
    std::string account;
    bool granted = false;
    /// When a token is expected to be available.
    duration retry_after{0};
};

/// Tells whether any account of the configuration in force has a rate.
struct configured
{
    bool has_limits = false;
};

/// A request that had a token ended without having run.
struct token_return
{
    std::string account;
};

struct report_entry
{
    /// Hash of the account's name.
    std::uint64_t account = 0;
    /// Tokens asked for.
    std::uint32_t wanted = 0;
    /// Unused tokens that the sender gives to the owner's bucket.
    double returned = 0;
    /// Limit of the account in the sender's configuration.
    double rate = 0;
    double burst = 0;
};

/// From a daemon to the owner of a group of accounts.
struct report
{
    daemon_ref sender;
    std::string sender_address;
    /// Run of the owner that the report is for.
    daemon_ref owner;
    /// Increases with each report of the sender's run.
    std::uint64_t number = 0;
    /// Last grant::stamp that the sender has received from this owner.
    std::uint64_t stamp = 0;
    /// See group_of().
    std::uint32_t group = 0;
    /// For this long, from before the report was sent, the sender delegates its
    /// entitlements to all accounts of the group; 0 leaves an earlier
    /// delegation as it is.
    duration lease{0};
    /// The sender uses its entitlements itself: an earlier delegation has
    /// ended.
    bool is_released = false;
    /// Daemons that the sender itself counts as entitled.
    std::uint32_t entitled = 0;
    std::vector<report_entry> entries;
};

struct grant_entry
{
    std::uint64_t account = 0;
    std::uint32_t tokens = 0;
    duration retry_after{0};
};

/// Reply to a report.
struct grant
{
    daemon_ref owner;
    std::string owner_address;
    /// Run of the receiver that the grant is for.
    daemon_ref receiver;
    /// report::number of the report that is answered.
    std::uint64_t number = 0;
    /// Opaque to the receiver, which sends it back in report::stamp. The owner
    /// recognizes by it a time before that report was sent.
    std::uint64_t stamp = 0;
    /// Daemons that the owner itself counts as entitled.
    std::uint32_t entitled = 0;
    std::vector<grant_entry> entries;
};

/// Messages that the account limit duty handles.
using message = std::variant<std::monostate, token_request, token_return,
                             configured, fleet, report, grant>;
using inbox = ring<message>;

} // namespace gooseberrycove::account_limit

#endif
