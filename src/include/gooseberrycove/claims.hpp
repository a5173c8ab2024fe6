#ifndef GOOSEBERRYCOVE_CLAIMS_HPP
#define GOOSEBERRYCOVE_CLAIMS_HPP

#include <gooseberrycove/error.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/store.hpp>
#include <gooseberrycove/types.hpp>
#include <gooseberrycove/work.hpp>

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrycove::claims
{

/// A home daemon that may dispatch a claimed request.
struct claim_home
{
    daemon_ref daemon;
    std::string address;
};

/// Asks for the right to run a non-repeatable request.
struct claim_request
{
    request_id id;
    std::string account;
    std::string key;
    std::uint64_t body_hash = 0;
    /// At most three, in the order in which routing will try them.
    std::vector<claim_home> homes;
    time_point deadline;
};

/// Answer to a claim_request.
struct claim_result
{
    request_id id;
    /// none: run it under `claim` at `homes`. Otherwise the answer's error
    /// kind, or, with `replay`, the recorded answer.
    error_kind kind = error_kind::none;
    claim_ref claim;
    std::vector<claim_home> homes;
    bool is_replay = false;
    work_result recorded;
    std::string detail;
};

/// Tells how a claimed request ended, so that the answer can be recorded.
struct claim_end
{
    claim_ref claim;
    std::string account;
    std::string key;
    work_result result;
    /// When every home answered that it did not run: routing answers the
    /// caller only after claim_released.
    bool not_run = false;
    request_id id;
};

/// Answer to a claim_end with not_run set. kind is the error for the caller:
/// not run only when the claim was removed or all its homes were fenced.
struct claim_released
{
    request_id id;
    bool confirmed = false;
};

/// Asks a home to refuse a claim from now on, or to tell what became of it.
struct fence
{
    claim_ref claim;
    daemon_ref home;
    daemon_ref sender;
    std::string sender_address;
};

enum class fence_state : std::uint8_t
{
    fenced,    ///< never seen; refused from now on
    running,   ///< dispatched, no result yet
    finished,  ///< finished with the attached result
    wrong_home ///< this run of the daemon is not the home that was asked
};

struct fence_response
{
    claim_ref claim;
    daemon_ref home;
    fence_state state = fence_state::wrong_home;
    work_result result;
};

/// Asks for a key that only this run of this daemon may execute; usable while
/// the platform's table service is out.
struct mint_request
{
    std::string account;
    std::function<void(std::string&& key)> deliver;
};

/// State of a claim, for a caller that asks later.
struct claim_state
{
    /// none: finished, see recorded. in_progress, outcome_unknown,
    /// store_unavailable, or no_route when no such claim exists.
    error_kind kind = error_kind::none;
    work_result recorded;
};

struct state_request
{
    std::string account;
    std::string key;
    std::function<void(claim_state&&)> deliver;
};

/// Messages that the claims duty takes.
using message = std::variant<std::monostate, claim_request, claim_end,
                             fence_response, members::live_daemons,
                             mint_request, state_request, store::reply>;
using inbox = ring<message>;

} // namespace gooseberrycove::claims

#endif
