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

/// Requests the right to run a non-repeatable request.
struct claim_request
{
    request_id id;
    std::string account;
    std::string key;
    std::uint64_t body_hash = 0;
    /// At most three, in the order in which routing tries them.
    std::vector<claim_home> homes;
    time_point deadline;
};

/// Reply to a claim_request.
struct claim_result
{
    request_id id;
    /// none when the request may run under `claim` at `homes`, or when
    /// `is_replay` is set and `recorded` holds the result. Otherwise the error
    /// to return to the caller.
    error_kind kind = error_kind::none;
    claim_ref claim;
    std::vector<claim_home> homes;
    bool is_replay = false;
    work_result recorded;
    std::string detail;
};

/// Reports the end of a claimed request, so that its result is recorded.
struct claim_end
{
    claim_ref claim;
    std::string account;
    std::string key;
    work_result result;
    /// Every home replied that the request did not run. Routing then responds
    /// to the caller only after claim_released.
    bool is_not_run = false;
    request_id id;
};

/// Reply to a claim_end with is_not_run set.
struct claim_released
{
    request_id id;
    /// The claim was removed or fenced at all its homes, so the request
    /// certainly did not run.
    bool is_confirmed = false;
};

/// Makes a home refuse a claim from now on, or report the state of its run.
struct fence
{
    claim_ref claim;
    daemon_ref home;
    daemon_ref sender;
    std::string sender_address;
};

enum class fence_state : std::uint8_t
{
    fenced,    ///< never received; refused from now on
    running,   ///< dispatched, no result yet
    finished,  ///< finished with the attached result
    wrong_home ///< the fence is not for this run of this daemon
};

struct fence_response
{
    claim_ref claim;
    daemon_ref home;
    fence_state state = fence_state::wrong_home;
    work_result result;
};

/// Requests an idempotency key that only this run of this daemon may execute.
/// Such a key needs no row in the platform's table service, so it works while
/// the service is unavailable.
struct mint_request
{
    std::string account;
    std::function<void(std::string&& key)> deliver;
};

/// State of a claim, for a caller that queries it after the request.
struct claim_state
{
    /// none when the request has finished and `recorded` holds its result.
    /// Otherwise in_progress, outcome_unknown, store_unavailable, or no_route
    /// when no such claim exists.
    error_kind kind = error_kind::none;
    work_result recorded;
};

struct state_request
{
    std::string account;
    std::string key;
    std::function<void(claim_state&&)> deliver;
};

/// Messages that the claims duty handles.
/// Newest era of the store that another duty has seen.
struct store_era
{
    std::uint64_t era = 0;
    /// The store was restored from a copy during this run of the daemon.
    bool is_restored = false;
};

using message =
    std::variant<std::monostate, claim_request, claim_end, fence_response,
                 members::live_daemons, mint_request, state_request, store_era,
                 store::reply>;
using inbox = ring<message>;

} // namespace gooseberrycove::claims

#endif
