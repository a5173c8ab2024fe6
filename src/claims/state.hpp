#ifndef GOOSEBERRYCOVE_CLAIMS_STATE_HPP
#define GOOSEBERRYCOVE_CLAIMS_STATE_HPP

#include "claims/row.hpp"
#include <gooseberrycove/claims.hpp>
#include <gooseberrycove/event.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrycove::claims
{

/// Times and limits of the protocol.
struct parameters
{
    /// A claim that is not settled after this is given up.
    duration claim_wait{5'000'000};
    /// A home that has not answered a fence by then counts as gone.
    duration fence_wait{2'000'000};
    duration fence_repeat{300'000};
    duration first_retry{200'000};
    duration longest_retry{30'000'000};
    /// A call without any reply counts as unknown after this.
    duration call_wait{10'000'000};
    /// Looks for the row of a claim that was given up, because its write may
    /// take effect late.
    int cleanup_looks = 8;
    std::size_t longest_key = 512;
    /// Minted keys whose state is kept; older ones are forgotten.
    std::size_t minted_keys = 10'000;
    std::size_t minted_bytes = std::size_t{8} << 20;
    /// Rows stay for this time after their last write.
    std::uint64_t row_seconds = 86'400;
    /// The fleet reads about one page of rows in this time, whatever its size.
    duration page_period{1'000'000};
    duration least_page_period{10'000'000};
    /// A row may hold a response of 1 MiB.
    std::size_t page_rows = 20;
};

enum class phase : std::uint8_t
{
    inserting,  ///< the first write of the row
    reading,    ///< reads the row back after a lost reply
    fencing,    ///< asks the homes of a claim whose claimant is gone
    raising,    ///< takes over a fenced claim under the next epoch
    running,    ///< granted; the request runs
    recording,  ///< writes the answer until it is confirmed
    unsettling, ///< writes that nobody waits for the outcome any more
    releasing,  ///< deletes the row of a request that did not run
    cleaning    ///< removes the row of a claim that was given up
};

/// A home that was asked for a claim.
struct fence_wait
{
    claim_home home;
    std::optional<fence_response> answer;
};

/// One claim of this daemon, from the request until the row is settled.
struct job
{
    std::uint64_t ticket = 0;
    phase step = phase::inserting;
    claim_request what;
    std::string key;
    /// The row as this daemon writes it.
    claim_row mine;
    /// The row of the claim that is fenced, and the version of the row in the
    /// store; 0 is unknown.
    claim_row found;
    std::uint64_t version = 0;
    time_point started;
    /// Number of the store call in flight; 0 is none.
    std::uint64_t waiting = 0;
    time_point waiting_since;
    /// Whether that call reads the row.
    bool reads = false;
    bool retry = false;
    time_point retry_at;
    int tries = 0;
    /// A write of this job may still take effect.
    bool uncertain = false;
    /// Another daemon's claim was seen, so "not run" is no longer certain.
    bool foreign = false;
    /// Routing has its claim_released.
    bool answered = false;
    claim_ref fenced_claim;
    std::vector<fence_wait> fences;
    time_point fences_started;
    time_point fences_sent;
};

/// A key that only this run of this daemon may execute.
struct minted
{
    enum class use : std::uint8_t
    {
        unused,
        running,
        done,
        unknown
    };
    use state = use::unused;
    std::string account;
    std::uint64_t body_hash = 0;
    std::uint64_t epoch = 0;
    work_result answer;
};

struct query
{
    state_request what;
    std::uint64_t number = 0;
    time_point since;
};

struct state
{
    parameters limits;
    daemon_ref self;
    std::string address;
    std::string mint_key;

    std::unordered_map<std::uint64_t, job> jobs;
    std::unordered_map<std::string, std::uint64_t> job_of_key;
    std::unordered_map<std::uint64_t, query> queries;
    std::uint64_t next_ticket = 1;
    std::uint64_t next_call = 1;

    /// Sorted. Empty until members has told who lives.
    std::vector<daemon_ref> live;
    bool live_known = false;

    /// By serial number. A key that is missing here was forgotten.
    std::map<std::uint64_t, minted> minted_keys;
    std::uint64_t next_serial = 1;
    /// Sum of the kept answers.
    std::size_t minted_bytes = 0;

    /// Unix time in seconds at `started`; 0 leaves old rows alone.
    std::uint64_t unix_start = 0;
    time_point started;
    time_point next_page;
    /// Number of the call that reads a page, and the key before the next page.
    std::uint64_t page_call = 0;
    std::string page_after;
};

struct outgoing_fence
{
    std::string address;
    fence what;
};

/// What the thread must do after a decision.
struct actions
{
    std::vector<claim_result> results;
    std::vector<claim_released> released;
    std::vector<outgoing_fence> fences;
    /// The thread sets `deliver`.
    std::vector<store::request> store;
    std::vector<std::function<void()>> replies;
    std::vector<event_line> log;
};

state make_state(daemon_ref self, std::string address, std::string mint_key);

void on_claim_request(state& s, claim_request const& what, time_point now,
                      actions& out);
void on_claim_end(state& s, claim_end const& what, time_point now,
                  actions& out);
void on_fence_answer(state& s, fence_response const& what, time_point now,
                     actions& out);
void on_live_daemons(state& s, members::live_daemons const& what,
                     time_point now, actions& out);
void on_mint_request(state& s, mint_request const& what, time_point now,
                     actions& out);
void on_state_request(state& s, state_request const& what, time_point now,
                      actions& out);
void on_store_reply(state& s, store::reply const& what, time_point now,
                    actions& out);

/// Runs retries and time limits. Returns the time of the next call.
time_point on_tick(state& s, time_point now, actions& out);

} // namespace gooseberrycove::claims

#endif
